//! Runs the commands.

use std::env;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::PathBuf;
use std::time::Duration;

use catalog::{
    CatalogState, ChangeSet, Customer, MoveStage, Operation, Pool, PoolKind, Route, RouteAccess,
    RouteKind, Target, TrafficClass, Version, VersionMove,
};
use http::Method;
use ids::MoveId;
use serde::Serialize;
use serde_json::Value;

use crate::admin_client::{AdminClient, ToolError};
use crate::args::{
    CustomerCommand, KeyCommand, MoveCommand, MoveStart, PoolCommand, PoolPut, RouteCommand,
    RoutePut, TargetCommand, ToolArgs, ToolCommand, VersionCommand,
};
use crate::document_file;
use crate::log_search::LogSearch;
use crate::output::{print_json, print_line, print_records, print_result};

/// Time between two polls of a watched move.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The exit code of `diff` when there are differences.
const EXIT_DIFFERENCES: i32 = 3;

/// Runs one command against a daemon.
struct CommandRunner {
    client: AdminClient,
    json: bool,
}

/// Runs a command and returns the exit code. Options override the environment.
pub(crate) async fn run(args: ToolArgs) -> Result<i32, ToolError> {
    let address = match (args.admin, env::var("KINGCUPSHIFT_ADMIN").ok()) {
        (Some(address), _) => address,
        (None, Some(text)) => text
            .parse()
            .map_err(|_| ToolError::Usage(format!("KINGCUPSHIFT_ADMIN: {text:?} is no IP:port")))?,
        (None, None) => ([127, 0, 0, 1], 7001).into(),
    };
    let token = args.token.or_else(|| env::var("KINGCUPSHIFT_TOKEN").ok()).unwrap_or_default();
    let runner = CommandRunner { client: AdminClient::new(address, token), json: args.json };
    match args.command {
        ToolCommand::Customer(it) => runner.run_customer(it.command).await,
        ToolCommand::Key(it) => runner.run_key(it.command).await,
        ToolCommand::Pool(it) => runner.run_pool(it.command).await,
        ToolCommand::Route(it) => runner.run_route(it.command).await,
        ToolCommand::Target(it) => runner.run_target(it.command).await,
        ToolCommand::Version(it) => runner.run_version(it.command).await,
        ToolCommand::Move(it) => runner.run_move(it.command).await,
        ToolCommand::Apply(it) => runner.apply_file(&it.file).await,
        ToolCommand::Diff(it) => runner.diff_file(&it.file).await,
        ToolCommand::Check(it) => runner.check_file(&it.file).await,
        ToolCommand::Status(_) => runner.print_status().await,
        ToolCommand::Instances(_) => runner.print_instances().await,
        ToolCommand::Targets(_) => runner.print_targets().await,
        ToolCommand::Explain(it) => explain(&it.request, &it.files, runner.json),
    }
}

/// Prints the log entries of a request. Works on log files alone and calls no daemon.
fn explain(request: &str, files: &[PathBuf], json: bool) -> Result<i32, ToolError> {
    if files.is_empty() {
        return Err(ToolError::Usage("explain: no log files are given".into()));
    }
    let mut search = LogSearch::default();
    for path in files {
        let log_error = |cause| ToolError::Log { path: path.clone(), cause };
        let origin = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
        if path.as_os_str() == "-" {
            search.add_log(io::stdin().lock(), &origin, request).map_err(log_error)?;
        } else {
            let file = File::open(path).map_err(log_error)?;
            search.add_log(BufReader::new(file), &origin, request).map_err(log_error)?;
        }
    }
    let LogSearch { lines_read, lines_unparsed, .. } = search;
    let entries = search.into_sorted_entries();
    if entries.is_empty() {
        let message = format!(
            "request {request:?} is in none of {lines_read} lines ({lines_unparsed} of them are not log entries of a daemon)"
        );
        return Err(ToolError::NotFound(message));
    }
    let records: Vec<Value> = entries.iter().map(|it| it.to_record(!json)).collect();
    print_records(json, &["time", "daemon", "what", "details"], &records);
    Ok(0)
}

impl CommandRunner {
    async fn run_customer(&self, command: CustomerCommand) -> Result<i32, ToolError> {
        match command {
            CustomerCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let records = to_records(catalog.customers.values());
                print_records(self.json, &["id", "rate", "burst", "weight"], &records);
                Ok(0)
            }
            CustomerCommand::Put(it) => {
                let customer =
                    Customer { id: it.id, rate: it.rate, burst: it.burst, weight: it.weight };
                self.submit(Operation::PutCustomer(customer)).await
            }
            CustomerCommand::Remove(it) => self.submit(Operation::DropCustomer(it.id)).await,
        }
    }

    async fn run_key(&self, command: KeyCommand) -> Result<i32, ToolError> {
        match command {
            KeyCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                print_records(self.json, &["id", "customer"], &to_records(catalog.keys.values()));
            }
            KeyCommand::Create(it) => {
                let body = serde_json::json!({ "id": it.id, "customer": it.customer });
                let answer = self.client.call(Method::POST, "/v1/keys", Some(body)).await?;
                let secret = answer["secret"].as_str().unwrap_or_default().to_string();
                print_result(self.json, &secret, &answer);
                if !self.json {
                    eprintln!("key {} created; this secret is not shown again", it.id);
                }
            }
            KeyCommand::Withdraw(it) => {
                let path = format!("/v1/keys/{}/withdraw", it.id);
                let answer = self.client.call(Method::POST, &path, None).await?;
                let accepted = match answer["revision"].as_u64() {
                    Some(revision) => format!("accepted at revision {revision}"),
                    None => "not accepted yet, the table is unavailable".into(),
                };
                let sentence = format!(
                    "key {} withdrawn: {accepted}; refused here and on {} of {} peers",
                    it.id, answer["peers_told"], answer["peers"]
                );
                print_result(self.json, &sentence, &answer);
            }
        }
        Ok(0)
    }

    async fn run_pool(&self, command: PoolCommand) -> Result<i32, ToolError> {
        match command {
            PoolCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let columns = ["id", "kind", "version", "concurrency"];
                print_records(self.json, &columns, &to_records(catalog.pools.values()));
                Ok(0)
            }
            PoolCommand::Put(it) => self.submit(Operation::PutPool(parse_pool(it)?)).await,
            PoolCommand::Remove(it) => self.submit(Operation::DropPool(it.id)).await,
        }
    }

    async fn run_route(&self, command: RouteCommand) -> Result<i32, ToolError> {
        match command {
            RouteCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let columns =
                    ["id", "kind", "model", "prefix", "pool", "access", "class", "customers"];
                print_records(self.json, &columns, &to_records(catalog.routes.values()));
                Ok(0)
            }
            RouteCommand::Put(it) => self.submit(Operation::PutRoute(parse_route(it)?)).await,
            RouteCommand::Remove(it) => self.submit(Operation::DropRoute(it.id)).await,
        }
    }

    async fn run_target(&self, command: TargetCommand) -> Result<i32, ToolError> {
        match command {
            TargetCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let columns = ["id", "pool", "address", "failure_domain", "leaving"];
                print_records(self.json, &columns, &to_records(catalog.targets.values()));
                Ok(0)
            }
            TargetCommand::Put(it) => {
                let target = Target {
                    id: it.id,
                    pool: it.pool,
                    address: it.address,
                    failure_domain: it.failure_domain,
                    echoes_request_id: it.echoes_request_id,
                    checks_fencing: it.checks_fencing,
                    leaving: false,
                };
                self.submit(Operation::PutTarget(target)).await
            }
            TargetCommand::Leave(it) => {
                let catalog = self.client.fetch_catalog().await?;
                let target = catalog.targets.get(&it.id).cloned();
                let target = target.ok_or_else(|| not_found("target", it.id.as_str()))?;
                self.submit(Operation::PutTarget(Target { leaving: true, ..target })).await
            }
            TargetCommand::Remove(it) => self.submit(Operation::DropTarget(it.id)).await,
        }
    }

    async fn run_version(&self, command: VersionCommand) -> Result<i32, ToolError> {
        match command {
            VersionCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let columns = ["pool", "number", "weights"];
                print_records(self.json, &columns, &to_records(&catalog.versions));
                Ok(0)
            }
            VersionCommand::Put(it) => {
                let version =
                    Version { pool: it.pool, number: it.number, weights: it.weights.into() };
                self.submit(Operation::PutVersion(version)).await
            }
            VersionCommand::Remove(it) => {
                self.submit(Operation::DropVersion { pool: it.pool, number: it.number }).await
            }
        }
    }

    async fn run_move(&self, command: MoveCommand) -> Result<i32, ToolError> {
        match command {
            MoveCommand::List(_) => {
                let catalog = self.client.fetch_catalog().await?;
                let columns = ["id", "pool", "from", "to", "stage", "deadline_s", "reason"];
                print_records(self.json, &columns, &to_records(catalog.moves.values()));
                Ok(0)
            }
            MoveCommand::Start(it) => self.start_move(it).await,
            MoveCommand::Watch(it) => self.watch_move(&it.id).await,
            MoveCommand::TakeBack(it) => {
                let catalog = self.client.fetch_catalog().await?;
                let found = find_move(&catalog, &it.id)?;
                if found.stage.is_finished() {
                    return Err(ToolError::Refused(format!(
                        "move {} is finished and cannot be rolled back",
                        it.id
                    )));
                }
                let next = VersionMove {
                    stage: MoveStage::TakingBack,
                    reason: Some("taken back by an operator".into()),
                    ..found
                };
                self.submit(Operation::PutMove(next)).await
            }
        }
    }

    async fn start_move(&self, args: MoveStart) -> Result<i32, ToolError> {
        let catalog = self.client.fetch_catalog().await?;
        let pool = catalog.pools.get(&args.pool);
        let pool = pool.ok_or_else(|| not_found("pool", args.pool.as_str()))?;
        if catalog.moves.contains_key(&args.id) {
            return Err(ToolError::Refused(format!(
                "move {} already exists; choose another id",
                args.id
            )));
        }
        let next = VersionMove {
            id: args.id,
            pool: args.pool,
            from: pool.version,
            to: args.to,
            stage: MoveStage::Trial,
            deadline_s: args.deadline_s,
            reason: None,
        };
        self.submit(Operation::PutMove(next)).await
    }

    /// Prints the move whenever it changes, until it is done (exit code 0) or rolled back (1).
    async fn watch_move(&self, id: &MoveId) -> Result<i32, ToolError> {
        let mut last = None;
        loop {
            let found = find_move(&self.client.fetch_catalog().await?, id)?;
            if last.as_ref() != Some(&found) {
                let value = to_record(&found);
                let stage = value["stage"].as_str().unwrap_or_default().to_string();
                let reason = found.reason.clone().unwrap_or_default();
                print_result(self.json, format!("{stage} {reason}").trim_end(), &value);
            }
            match found.stage {
                MoveStage::Done => return Ok(0),
                MoveStage::TakenBack => return Ok(1),
                _ => last = Some(found),
            }
            tokio::time::sleep(MOVE_POLL_INTERVAL).await;
        }
    }

    async fn apply_file(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.changes_to_file(file).await?;
        if change.operations.is_empty() {
            print_result(self.json, "nothing to change", &serde_json::json!({ "operations": 0 }));
            return Ok(0);
        }
        self.submit_all(change).await
    }

    async fn diff_file(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.changes_to_file(file).await?;
        if self.json {
            print_json(&to_record(&change));
        } else {
            for it in &change.operations {
                print_line(&serde_json::to_string(it).unwrap_or_default());
            }
        }
        Ok(if change.operations.is_empty() { 0 } else { EXIT_DIFFERENCES })
    }

    async fn check_file(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.changes_to_file(file).await?;
        let body = to_record(&change);
        let answer = self.client.call(Method::POST, "/v1/changes/check", Some(body)).await?;
        let sentence = format!("valid; {} operations to apply", change.operations.len());
        print_result(self.json, &sentence, &answer);
        Ok(0)
    }

    /// The change that brings the daemon's catalog to the content of the file.
    async fn changes_to_file(&self, file: &std::path::Path) -> Result<ChangeSet, ToolError> {
        let document = document_file::read(file)?;
        Ok(document.changes_from(&self.client.fetch_catalog().await?))
    }

    async fn print_status(&self) -> Result<i32, ToolError> {
        let status = self.client.call(Method::GET, "/status", None).await?;
        if self.json {
            print_json(&status);
            return Ok(0);
        }
        for name in ["instance", "ready", "catalog_revision", "may_spend", "open_requests"] {
            print_line(&format!("{name}: {}", status[name]));
        }
        self.print_instances().await?;
        self.print_targets().await
    }

    async fn print_instances(&self) -> Result<i32, ToolError> {
        let columns = ["id", "failure_domain", "incarnation", "state"];
        self.print_status_list("instances", &columns).await
    }

    async fn print_targets(&self) -> Result<i32, ToolError> {
        let columns = ["target", "pool", "address", "health", "version", "outstanding", "reported"];
        self.print_status_list("replicas", &columns).await
    }

    /// Prints one of the lists in the daemon's status.
    async fn print_status_list(&self, name: &str, columns: &[&str]) -> Result<i32, ToolError> {
        let status = self.client.call(Method::GET, "/status", None).await?;
        let records = status[name].as_array().cloned().unwrap_or_default();
        print_records(self.json, columns, &records);
        Ok(0)
    }

    async fn submit(&self, operation: Operation) -> Result<i32, ToolError> {
        self.submit_all(ChangeSet { operations: vec![operation] }).await
    }

    async fn submit_all(&self, change: ChangeSet) -> Result<i32, ToolError> {
        let answer = self.client.submit(&change).await?;
        let sentence = format!(
            "accepted at revision {}; {} of {} peers have it",
            answer["revision"], answer["peers_told"], answer["peers"]
        );
        print_result(self.json, &sentence, &answer);
        Ok(0)
    }
}

fn parse_pool(args: PoolPut) -> Result<Pool, ToolError> {
    let kind = match args.kind.as_str() {
        "engine" => PoolKind::Engine,
        "service" => PoolKind::Service,
        "kv_store" => PoolKind::KvStore,
        other => {
            let message = format!("--kind: found {other:?}; allowed: engine, service, kv_store");
            return Err(ToolError::Usage(message));
        }
    };
    Ok(Pool { id: args.id, kind, version: args.version, concurrency: args.concurrency })
}

fn parse_route(args: RoutePut) -> Result<Route, ToolError> {
    let kind = match (args.model, args.prefix) {
        (Some(model), None) => RouteKind::Model { model },
        (None, Some(prefix)) => {
            let mut repeatable: Vec<Box<str>> = vec!["GET".into(), "HEAD".into(), "OPTIONS".into()];
            repeatable.extend(args.repeatable.into_iter().map(Into::into));
            RouteKind::Service { prefix: prefix.into(), repeatable, cost: args.cost }
        }
        _ => return Err(ToolError::Usage("give one of --model and --prefix".into())),
    };
    Ok(Route {
        id: args.id,
        kind,
        pool: args.pool,
        access: if args.open { RouteAccess::Open } else { RouteAccess::Keyed },
        class: if args.deferrable { TrafficClass::Deferrable } else { TrafficClass::Counter },
        customers: args.customer,
    })
}

fn find_move(catalog: &CatalogState, id: &MoveId) -> Result<VersionMove, ToolError> {
    catalog.moves.get(id).cloned().ok_or_else(|| not_found("move", id.as_str()))
}

fn not_found(what: &str, name: &str) -> ToolError {
    ToolError::Refused(format!("{what} {name} does not exist"))
}

fn to_records<'a, T: Serialize + 'a>(entities: impl IntoIterator<Item = &'a T>) -> Vec<Value> {
    entities.into_iter().map(to_record).collect()
}

fn to_record(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}
