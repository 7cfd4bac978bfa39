//! Measurements of the path, of a fleet and of the decisions' slopes, as tables in Markdown.
//!
//! The program `oriolehitch` must stand beside this one: build both with `--release`.

#![allow(missing_docs, unreachable_pub, reason = "made by the macro")]

mod fleet;
mod micro;
mod path;
mod stage;

use anyhow::Result;

xflags::xflags! {
    /// Measurements, as tables in Markdown.
    cmd bench {
        /// Latency, throughput and memory of one instance against the stand-in engine alone.
        cmd path {}
        /// Control traffic, processor time and memory of idle instances, at several sizes.
        cmd fleet {
            /// Sizes, separated by commas.
            optional --sizes sizes: String
        }
        /// Slopes of the decisions: bytes and time by number of budgets, customers, peers, upstreams.
        cmd micro {}
    }
}

fn main() -> Result<()> {
    let flags = Bench::from_env_or_exit();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match flags.subcommand {
            BenchCmd::Path(_) => path::run().await,
            BenchCmd::Fleet(cmd) => fleet::run(&cmd.sizes.unwrap_or("9,30,90".to_string())).await,
            BenchCmd::Micro(_) => {
                micro::run();
                Ok(())
            }
        }
    })
}
