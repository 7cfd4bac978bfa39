//! The command line: the processes here, each group of operators' acts in a module of its own.
//!
//! The macro names its types after the commands, and the groups share commands such as `list`.

#![allow(
    missing_docs,
    unreachable_pub,
    reason = "made by the macro, which copies the help texts"
)]

use std::ffi::OsString;
use std::path::PathBuf;

/// Commands that are parsed by their own module.
pub const COMMAND_GROUPS: [&str; 5] = ["config", "template", "customer", "budget", "stranded"];

/// A parsed command line.
#[derive(Debug)]
pub enum Flags {
    /// A process, or a single act.
    TopLevel(Oriolehitch),
    /// Operators' acts on the configuration.
    Config(config::Config),
    /// Operators' acts on templates.
    Template(template::Template),
    /// Operators' acts on customers.
    Customer(customer::Customer),
    /// Operators' acts on budgets.
    Budget(budget::Budget),
    /// Operators' acts on stranded tokens.
    Stranded(stranded::Stranded),
}

impl Flags {
    /// Parses the arguments after the program's name.
    ///
    /// # Errors
    ///
    /// Returns the usage error, or the help that was asked for.
    pub fn parse(mut args: Vec<OsString>) -> xflags::Result<Flags> {
        let first = args.first().and_then(|a| a.to_str()).unwrap_or_default();
        let group = COMMAND_GROUPS.iter().find(|g| **g == first);
        if group.is_some() {
            args.remove(0);
        }
        match group {
            Some(&"config") => config::Config::from_vec(args).map(Flags::Config),
            Some(&"template") => template::Template::from_vec(args).map(Flags::Template),
            Some(&"customer") => customer::Customer::from_vec(args).map(Flags::Customer),
            Some(&"budget") => budget::Budget::from_vec(args).map(Flags::Budget),
            Some(&"stranded") => stranded::Stranded::from_vec(args).map(Flags::Stranded),
            _ => Oriolehitch::from_vec(args).map(Flags::TopLevel),
        }
    }
}

xflags::xflags! {
    /// Router fleet for prepaid token budgets.
    ///
    /// Operators' acts, each with its own --help: config, template, customer, budget, stranded.
    ///
    /// Examples:
    ///   oriolehitch dev
    ///   oriolehitch serve --settings instance.json
    ///   oriolehitch budget --admin http://127.0.0.1:9001 top-up hrisey 500000 --id invoice-17
    cmd oriolehitch {
        /// Runs one instance.
        cmd serve {
            /// File with the instance's settings.
            required --settings file: PathBuf
            /// Form of the logs, text or json; goes before the settings.
            optional --log form: String
        }
        /// Runs stand-ins and instances in one process, to try things out.
        cmd dev {
            /// Configuration to start with.
            optional --config file: PathBuf
            /// Settings that all instances share; name, zone and addresses are set for each.
            optional --settings file: PathBuf
            /// Port for callers of the first instance; 0 takes a free one.
            optional --port port: u16
            /// Instances, spread over three availability zones.
            optional --instances count: usize
            /// Form of the logs, text or json.
            optional --log form: String
        }
        /// Checks files with settings or configuration.
        cmd check {
            /// Files.
            repeated files: PathBuf
        }
        /// Shows where customers' tokens were, second by second, by the logs of a fleet.
        ///
        /// living, dead: charged and not spent, at instances that run and at those that ended; covered,
        /// uncovered: refused though the tokens that were not spent would have covered the request, or not.
        cmd tokens {
            /// Logs in JSON of one instance each, or of many with the instance's name before each line.
            repeated logs: PathBuf
            /// Length of a row, in seconds; 2 if it is not given.
            optional --every secs: u64
            /// Shows one customer only.
            optional --customer name: String
            /// Prints JSON.
            optional --json
        }
        /// Adds up the calls of the store by the logs of a fleet.
        ///
        /// end: how they ended, nothing for a watch without news, lost for a write that met another instance's;
        /// store: whether it was in reach when they began.
        cmd calls {
            /// Logs in JSON of one instance each, or of many with the instance's name before each line.
            repeated logs: PathBuf
            /// Prints rows for each stretch of so many seconds, rounded to when instances log them.
            optional --every secs: u64
            /// Prints JSON.
            optional --json
        }
        /// Shows what instances carry, by the logs of a fleet: memory, and what each sends to others.
        ///
        /// middle and most: of the instances; at: the one with the most; away: to other availability zones.
        cmd load {
            /// Logs in JSON of one instance each, or of many with the instance's name before each line.
            repeated logs: PathBuf
            /// Prints JSON.
            optional --json
        }
        /// Shows where requests waited for their first byte, in milliseconds, by the logs of a fleet.
        ///
        /// here: from the arrival to the last sending, for tokens, upstreams, connections and earlier attempts; there: from
        /// that to the first byte; 50 and 95: percentiles.
        cmd waits {
            /// Logs in JSON of one instance each, or of many with the instance's name before each line.
            repeated logs: PathBuf
            /// What a row is of: route, customer, instance, upstream or second; route if it is not given.
            optional --by what: String
            /// Prints JSON.
            optional --json
        }
        /// Runs one stand-in as a process.
        cmd stub {
            /// The platform's key-value service.
            cmd platform {
                /// Port; 0 takes a free one.
                optional --port port: u16
            }
            /// A model engine.
            cmd engine {
                /// Port; 0 takes a free one.
                optional --port port: u16
                /// Name in the instance list.
                required --name name: String
                /// Availability zone.
                required --zone zone: String
                /// Models, separated by commas.
                required --models models: String
                /// Platform whose instance list it is in.
                optional --platform url: String
                /// Time of one step, in milliseconds.
                optional --step-ms ms: u64
                /// Requests that it runs at once.
                optional --slots count: usize
                /// Obeys orders whatever their fencing number.
                optional --unfenced
            }
            /// A plain service.
            cmd service {
                /// Port; 0 takes a free one.
                optional --port port: u16
                /// Name in the instance list.
                required --name name: String
                /// Availability zone.
                required --zone zone: String
                /// The service that it is part of.
                required --service service: String
                /// Platform whose instance list it is in.
                optional --platform url: String
            }
        }
        /// Prints a process's state as JSON.
        cmd dump {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Shows one request's steps instead.
            optional --request id: String
        }
    }
}

pub mod config {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Shows and changes the configuration.
        cmd config {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Prints JSON.
            optional --json
            /// Shows the configuration in force.
            cmd show {}
            /// Shows the latest changes.
            cmd history {}
            /// Shows what a file would change.
            cmd diff {
                /// File with a whole configuration.
                required file: PathBuf
            }
            /// Puts a file in force, as one change.
            cmd apply {
                /// File with a whole configuration.
                required file: PathBuf
                /// Revision that the change starts from; default is the current one.
                optional --expect revision: u64
                /// Names the change; the same name again never makes a second one.
                optional --change-id id: String
                /// Who makes the change.
                optional --who name: String
                /// Checks only.
                optional --dry-run
            }
        }
    }
}

pub mod template {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Shows and changes templates.
        cmd template {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Prints JSON.
            optional --json
            /// Lists the templates.
            cmd list {}
            /// Makes or replaces a template.
            cmd set {
                /// The template's name.
                required name: String
                /// File with the template.
                required file: PathBuf
                /// Revision that the change starts from; default is the current one.
                optional --expect revision: u64
                /// Who makes the change.
                optional --who name: String
            }
            /// Deletes a template that no customer names.
            cmd delete {
                /// The template's name.
                required name: String
                /// Who makes the change.
                optional --who name: String
            }
        }
    }
}

pub mod customer {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Shows and changes customers.
        cmd customer {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Prints JSON.
            optional --json
            /// Lists the customers.
            cmd list {}
            /// Makes or replaces a customer.
            cmd set {
                /// The customer's name.
                required name: String
                /// File with the customer.
                required file: PathBuf
                /// Revision that the change starts from; default is the current one.
                optional --expect revision: u64
                /// Who makes the change.
                optional --who name: String
            }
            /// Deletes a customer; its budget stays on record.
            cmd delete {
                /// The customer's name.
                required name: String
                /// Who makes the change.
                optional --who name: String
            }
            /// Prints the hash under which a key is configured; reads the key from standard input.
            cmd hash-key {}
        }
    }
}

pub mod budget {
    xflags::xflags! {
        /// Shows and tops up budgets.
        cmd budget {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Prints JSON.
            optional --json
            /// Lists the budgets.
            cmd list {}
            /// Shows one budget with its holders.
            cmd show {
                /// The customer.
                required customer: String
            }
            /// Lists the bills of one budget.
            cmd bills {
                /// The customer.
                required customer: String
            }
            /// Adds prepaid tokens; the same id again adds nothing.
            cmd top-up {
                /// The customer.
                required customer: String
                /// Tokens.
                required tokens: u64
                /// Names the act.
                required --id id: String
            }
        }
    }
}

pub mod stranded {
    xflags::xflags! {
        /// Shows and releases stranded tokens.
        cmd stranded {
            /// Operators' address of an instance.
            required --admin url: String
            /// Operators' key.
            optional --key key: String
            /// Prints JSON.
            optional --json
            /// Lists what vanished holders left unspent.
            cmd list {}
            /// Takes it back, which exceeds the budget if the holder still acts.
            cmd release {
                /// The customer.
                required customer: String
                /// The holder.
                required holder: String
                /// Why the holder can't act any more.
                required --reason reason: String
                /// Who decides.
                optional --who name: String
            }
        }
    }
}
