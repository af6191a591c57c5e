//! What the commands do.

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
use crate::output::{print_done, print_json, print_line, print_list};
use crate::story::LogSearch;

/// The time between two looks at a move.
const WATCH_PERIOD: Duration = Duration::from_millis(500);
/// The exit code of `diff` when there are differences.
const DIFFERENT: i32 = 3;

/// One run of the tool.
struct Session {
    client: AdminClient,
    json: bool,
}

/// Runs a command; returns the exit code.
pub(crate) async fn run(args: ToolArgs) -> Result<i32, ToolError> {
    let address = match (args.admin, env::var("KINGCUPSHIFT_ADMIN").ok()) {
        (Some(address), _) => address,
        (None, Some(text)) => text
            .parse()
            .map_err(|_| ToolError::Usage(format!("KINGCUPSHIFT_ADMIN: {text:?} is no address")))?,
        (None, None) => ([127, 0, 0, 1], 7001).into(),
    };
    let token = args.token.or_else(|| env::var("KINGCUPSHIFT_TOKEN").ok()).unwrap_or_default();
    let session = Session { client: AdminClient::new(address, token), json: args.json };
    match args.command {
        ToolCommand::Customer(it) => session.customer(it.command).await,
        ToolCommand::Key(it) => session.key(it.command).await,
        ToolCommand::Pool(it) => session.pool(it.command).await,
        ToolCommand::Route(it) => session.route(it.command).await,
        ToolCommand::Target(it) => session.target(it.command).await,
        ToolCommand::Version(it) => session.version(it.command).await,
        ToolCommand::Move(it) => session.version_move(it.command).await,
        ToolCommand::Apply(it) => session.apply(&it.file).await,
        ToolCommand::Diff(it) => session.diff(&it.file).await,
        ToolCommand::Check(it) => session.check(&it.file).await,
        ToolCommand::Status(_) => session.status().await,
        ToolCommand::Instances(_) => session.instances().await,
        ToolCommand::Targets(_) => session.targets().await,
        ToolCommand::Explain(it) => explain(&it.request, &it.files, session.json),
    }
}

/// Prints what the logs say of a request. No daemon is asked.
fn explain(request: &str, files: &[PathBuf], json: bool) -> Result<i32, ToolError> {
    if files.is_empty() {
        return Err(ToolError::Usage("explain: name the log files to be read".into()));
    }
    let mut search = LogSearch::default();
    for path in files {
        let failed = |cause| ToolError::Log { path: path.clone(), cause };
        let origin = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
        if path.as_os_str() == "-" {
            search.add(io::stdin().lock(), &origin, request).map_err(failed)?;
        } else {
            let file = File::open(path).map_err(failed)?;
            search.add(BufReader::new(file), &origin, request).map_err(failed)?;
        }
    }
    let LogSearch { read, foreign, .. } = search;
    let story = search.story();
    if story.is_empty() {
        let fault = format!(
            "request {request:?} is in none of {read} lines ({foreign} of them in another form)"
        );
        return Err(ToolError::NotFound(fault));
    }
    let records: Vec<Value> = story.iter().map(|it| it.record(!json)).collect();
    print_list(json, &["time", "daemon", "what", "details"], &records);
    Ok(0)
}

impl Session {
    async fn customer(&self, command: CustomerCommand) -> Result<i32, ToolError> {
        match command {
            CustomerCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let records = records(catalog.customers.values());
                print_list(self.json, &["id", "rate", "burst", "weight"], &records);
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

    async fn key(&self, command: KeyCommand) -> Result<i32, ToolError> {
        match command {
            KeyCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                print_list(self.json, &["id", "customer"], &records(catalog.keys.values()));
            }
            KeyCommand::Create(it) => {
                let body = serde_json::json!({ "id": it.id, "customer": it.customer });
                let answer = self.client.call(Method::POST, "/v1/keys", Some(body)).await?;
                let secret = answer["secret"].as_str().unwrap_or_default().to_string();
                print_done(self.json, &secret, &answer);
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
                let told = format!(
                    "key {} withdrawn: {accepted}; refused here and on {} of {} peers",
                    it.id, answer["peers_told"], answer["peers"]
                );
                print_done(self.json, &told, &answer);
            }
        }
        Ok(0)
    }

    async fn pool(&self, command: PoolCommand) -> Result<i32, ToolError> {
        match command {
            PoolCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let columns = ["id", "kind", "version", "concurrency"];
                print_list(self.json, &columns, &records(catalog.pools.values()));
                Ok(0)
            }
            PoolCommand::Put(it) => self.submit(Operation::PutPool(pool(it)?)).await,
            PoolCommand::Remove(it) => self.submit(Operation::DropPool(it.id)).await,
        }
    }

    async fn route(&self, command: RouteCommand) -> Result<i32, ToolError> {
        match command {
            RouteCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let columns =
                    ["id", "kind", "model", "prefix", "pool", "access", "class", "customers"];
                print_list(self.json, &columns, &records(catalog.routes.values()));
                Ok(0)
            }
            RouteCommand::Put(it) => self.submit(Operation::PutRoute(route(it)?)).await,
            RouteCommand::Remove(it) => self.submit(Operation::DropRoute(it.id)).await,
        }
    }

    async fn target(&self, command: TargetCommand) -> Result<i32, ToolError> {
        match command {
            TargetCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let columns = ["id", "pool", "address", "failure_domain", "leaving"];
                print_list(self.json, &columns, &records(catalog.targets.values()));
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
                let catalog = self.client.catalog().await?;
                let target = catalog.targets.get(&it.id).cloned();
                let target = target.ok_or_else(|| unknown("target", it.id.as_str()))?;
                self.submit(Operation::PutTarget(Target { leaving: true, ..target })).await
            }
            TargetCommand::Remove(it) => self.submit(Operation::DropTarget(it.id)).await,
        }
    }

    async fn version(&self, command: VersionCommand) -> Result<i32, ToolError> {
        match command {
            VersionCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let columns = ["pool", "number", "weights"];
                print_list(self.json, &columns, &records(&catalog.versions));
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

    async fn version_move(&self, command: MoveCommand) -> Result<i32, ToolError> {
        match command {
            MoveCommand::List(_) => {
                let catalog = self.client.catalog().await?;
                let columns = ["id", "pool", "from", "to", "stage", "deadline_s", "reason"];
                print_list(self.json, &columns, &records(catalog.moves.values()));
                Ok(0)
            }
            MoveCommand::Start(it) => self.start_move(it).await,
            MoveCommand::Watch(it) => self.watch_move(&it.id).await,
            MoveCommand::TakeBack(it) => {
                let catalog = self.client.catalog().await?;
                let found = find_move(&catalog, &it.id)?;
                if found.stage.is_finished() {
                    return Err(ToolError::Refused(format!("move {} is over", it.id)));
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
        let catalog = self.client.catalog().await?;
        let pool = catalog.pools.get(&args.pool);
        let pool = pool.ok_or_else(|| unknown("pool", args.pool.as_str()))?;
        if catalog.moves.contains_key(&args.id) {
            return Err(ToolError::Refused(format!("move {} exists", args.id)));
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

    async fn watch_move(&self, id: &MoveId) -> Result<i32, ToolError> {
        let mut last = None;
        loop {
            let found = find_move(&self.client.catalog().await?, id)?;
            if last.as_ref() != Some(&found) {
                let value = record(&found);
                let stage = value["stage"].as_str().unwrap_or_default().to_string();
                let reason = found.reason.clone().unwrap_or_default();
                print_done(self.json, format!("{stage} {reason}").trim_end(), &value);
            }
            match found.stage {
                MoveStage::Done => return Ok(0),
                MoveStage::TakenBack => return Ok(1),
                _ => last = Some(found),
            }
            tokio::time::sleep(WATCH_PERIOD).await;
        }
    }

    async fn apply(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.difference(file).await?;
        if change.operations.is_empty() {
            print_done(self.json, "nothing to change", &serde_json::json!({ "operations": 0 }));
            return Ok(0);
        }
        self.submit_all(change).await
    }

    async fn diff(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.difference(file).await?;
        if self.json {
            print_json(&record(&change));
        } else {
            for it in &change.operations {
                print_line(&serde_json::to_string(it).unwrap_or_default());
            }
        }
        Ok(if change.operations.is_empty() { 0 } else { DIFFERENT })
    }

    async fn check(&self, file: &std::path::Path) -> Result<i32, ToolError> {
        let change = self.difference(file).await?;
        let body = record(&change);
        let answer = self.client.call(Method::POST, "/v1/changes/check", Some(body)).await?;
        let sentence = format!("valid; {} steps to apply", change.operations.len());
        print_done(self.json, &sentence, &answer);
        Ok(0)
    }

    async fn difference(&self, file: &std::path::Path) -> Result<ChangeSet, ToolError> {
        let document = document_file::read(file)?;
        Ok(document.changes_from(&self.client.catalog().await?))
    }

    async fn status(&self) -> Result<i32, ToolError> {
        let status = self.client.call(Method::GET, "/status", None).await?;
        if self.json {
            print_json(&status);
            return Ok(0);
        }
        for name in ["instance", "ready", "catalog_revision", "may_spend", "open_requests"] {
            print_line(&format!("{name}: {}", status[name]));
        }
        self.instances().await?;
        self.targets().await
    }

    async fn instances(&self) -> Result<i32, ToolError> {
        let columns = ["id", "failure_domain", "incarnation", "state"];
        self.status_list("instances", &columns).await
    }

    async fn targets(&self) -> Result<i32, ToolError> {
        let columns = ["target", "pool", "address", "health", "version", "outstanding", "reported"];
        self.status_list("replicas", &columns).await
    }

    async fn status_list(&self, name: &str, columns: &[&str]) -> Result<i32, ToolError> {
        let status = self.client.call(Method::GET, "/status", None).await?;
        let records = status[name].as_array().cloned().unwrap_or_default();
        print_list(self.json, columns, &records);
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
        print_done(self.json, &sentence, &answer);
        Ok(0)
    }
}

fn pool(args: PoolPut) -> Result<Pool, ToolError> {
    let kind = match args.kind.as_str() {
        "engine" => PoolKind::Engine,
        "service" => PoolKind::Service,
        "kv_store" => PoolKind::KvStore,
        other => {
            let text = format!("--kind: found {other:?}; allowed: engine, service, kv_store");
            return Err(ToolError::Usage(text));
        }
    };
    Ok(Pool { id: args.id, kind, version: args.version, concurrency: args.concurrency })
}

fn route(args: RoutePut) -> Result<Route, ToolError> {
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
    catalog.moves.get(id).cloned().ok_or_else(|| unknown("move", id.as_str()))
}

fn unknown(what: &str, name: &str) -> ToolError {
    ToolError::Refused(format!("{what} {name} does not exist"))
}

fn records<'a, T: Serialize + 'a>(entities: impl IntoIterator<Item = &'a T>) -> Vec<Value> {
    entities.into_iter().map(record).collect()
}

fn record(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}
