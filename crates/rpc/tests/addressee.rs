//! Tests of calls over loopback connections.

use jsonrpsee_core::client::ClientT;
use jsonrpsee_core::params::ArrayParams;
use jsonrpsee_core::RpcResult;
use jsonrpsee_server::RpcModule;

const OWN_ID: &str = "a.1";

/// An address may belong to another instance than the caller expects, after a restart or in another
/// fleet.
#[tokio::test]
async fn only_the_named_incarnation_answers() {
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = rpc::Listener::bind(any, web::Limits::small(10), 1 << 10).expect("a free port");
    let addr = server.addr();
    let mut module = RpcModule::new(());
    let registered = module.register_method("m", |_, (), extensions| -> RpcResult<u64> {
        rpc::check_addressee(extensions, OWN_ID)?;
        Ok(7)
    });
    registered.expect("a new name");
    let registered = module.register_method("any_start", |_, (), extensions| -> RpcResult<u64> {
        rpc::check_instance(extensions, OWN_ID)?;
        Ok(8)
    });
    registered.expect("a new name");
    let _running = server.serve(module);
    let call = async |method, to| -> Result<u64, String> {
        let client = rpc::client_builder(to)?
            .build(format!("http://{addr}"))
            .map_err(|e| e.to_string())?;
        let answer = client.request(method, ArrayParams::new()).await;
        answer.map_err(|e| e.to_string())
    };
    assert_eq!(call("m", Some(OWN_ID)).await, Ok(7));
    assert_eq!(call("m", None).await, Ok(7));
    let refused = call("m", Some("a.2"))
        .await
        .expect_err("another incarnation");
    assert!(refused.contains("this is a.1"), "{refused}");
    assert_eq!(call("any_start", Some("a.2")).await, Ok(8));
    assert!(call("any_start", Some("b.1")).await.is_err());
}
