//! The arguments of the tool. Doc comments of options and commands are its `--help` texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use ids::{
    CustomerId, FailureDomain, KeyId, MoveId, PoolId, RouteId, TargetId, TokenCount, TokenRate,
    VersionNumber,
};

/// Administers a kingcupshift fleet through any of its daemons.
///
/// Every change takes effect on all daemons within seconds. Try `kingcupshift status`, then
/// `kingcupshift customer put --help`. Whole catalogs are kept in a file: `check`, `diff`, `apply`.
#[derive(FromArgs)]
pub(crate) struct ToolArgs {
    /// the admin address of a daemon; else $KINGCUPSHIFT_ADMIN, else 127.0.0.1:7001
    #[argh(option)]
    pub(crate) admin: Option<SocketAddr>,
    /// the operator's token; else $KINGCUPSHIFT_TOKEN
    #[argh(option)]
    pub(crate) token: Option<String>,
    /// print JSON for scripts
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: ToolCommand,
}

/// Marks the end of the options before the first `-`, which stands for standard input: the parser
/// would take it for an option.
pub(crate) fn separate_standard_input(mut words: Vec<String>) -> Vec<String> {
    let first = words.iter().position(|it| it == "-" || it == "--");
    if let Some(index) = first.filter(|it| words[*it] == "-") {
        words.insert(index, "--".into());
    }
    words
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum ToolCommand {
    Customer(CustomerArgs),
    Key(KeyArgs),
    Pool(PoolArgs),
    Route(RouteArgs),
    Target(TargetArgs),
    Version(VersionArgs),
    Move(MoveArgs),
    Apply(ApplyArgs),
    Diff(DiffArgs),
    Check(CheckArgs),
    Status(StatusArgs),
    Instances(InstancesArgs),
    Targets(TargetsArgs),
    Explain(ExplainArgs),
}

/// Customers and their rate limits.
#[derive(FromArgs)]
#[argh(subcommand, name = "customer")]
pub(crate) struct CustomerArgs {
    #[argh(subcommand)]
    pub(crate) command: CustomerCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum CustomerCommand {
    List(ListArgs),
    Put(CustomerPut),
    Remove(CustomerRemove),
}

/// List all.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct ListArgs {}

/// Create or replace a customer.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct CustomerPut {
    /// the customer's id
    #[argh(positional)]
    pub(crate) id: CustomerId,
    /// tokens a second over the whole fleet
    #[argh(option)]
    pub(crate) rate: TokenRate,
    /// tokens it may take at once after an idle time
    #[argh(option)]
    pub(crate) burst: TokenCount,
    /// its weight against other customers when targets are scarce
    #[argh(option, default = "1")]
    pub(crate) weight: u32,
}

/// Remove a customer and its keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct CustomerRemove {
    /// the customer's id
    #[argh(positional)]
    pub(crate) id: CustomerId,
}

/// Caller keys. A secret is shown once, at creation, and not stored.
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub(crate) struct KeyArgs {
    #[argh(subcommand)]
    pub(crate) command: KeyCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum KeyCommand {
    List(ListArgs),
    Create(KeyCreate),
    Withdraw(KeyWithdraw),
}

/// Create a key and show its secret.
#[derive(FromArgs)]
#[argh(subcommand, name = "create")]
pub(crate) struct KeyCreate {
    /// the key's name
    #[argh(positional)]
    pub(crate) id: KeyId,
    /// the customer that its requests are charged to
    #[argh(option)]
    pub(crate) customer: CustomerId,
}

/// Withdraw (revoke) a key; works also while the table is down.
#[derive(FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub(crate) struct KeyWithdraw {
    /// the key's name
    #[argh(positional)]
    pub(crate) id: KeyId,
}

/// Pools: the replicas of one model or one plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolArgs {
    #[argh(subcommand)]
    pub(crate) command: PoolCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum PoolCommand {
    List(ListArgs),
    Put(PoolPut),
    Remove(PoolRemove),
}

/// Create or replace a pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct PoolPut {
    /// its id; for engines the name of the model
    #[argh(positional)]
    pub(crate) id: PoolId,
    /// engine, service or kv_store
    #[argh(option)]
    pub(crate) kind: String,
    /// the version that new requests run on
    #[argh(option, default = "VersionNumber(1)")]
    pub(crate) version: VersionNumber,
    /// requests that one replica runs concurrently
    #[argh(option, default = "16")]
    pub(crate) concurrency: u32,
}

/// Remove a pool that no route and no target refers to, with its versions.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct PoolRemove {
    /// the pool's id
    #[argh(positional)]
    pub(crate) id: PoolId,
}

/// Routes from callers to pools.
#[derive(FromArgs)]
#[argh(subcommand, name = "route")]
pub(crate) struct RouteArgs {
    #[argh(subcommand)]
    pub(crate) command: RouteCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum RouteCommand {
    List(ListArgs),
    Put(RoutePut),
    Remove(RouteRemove),
}

/// Create or replace a route: to a model with --model, to a plain service with --prefix.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct RoutePut {
    /// the route's id
    #[argh(positional)]
    pub(crate) id: RouteId,
    /// the pool that serves it
    #[argh(option)]
    pub(crate) pool: PoolId,
    /// the model's name as callers write it
    #[argh(option)]
    pub(crate) model: Option<PoolId>,
    /// the path prefix of a plain service, such as /orders
    #[argh(option)]
    pub(crate) prefix: Option<String>,
    /// a method whose calls may be repeated besides GET, HEAD, OPTIONS; may be given more than once
    #[argh(option)]
    pub(crate) repeatable: Vec<String>,
    /// tokens charged for each call of a plain service
    #[argh(option, default = "TokenCount(1)")]
    pub(crate) cost: TokenCount,
    /// callers need no key
    #[argh(switch)]
    pub(crate) open: bool,
    /// its requests may wait; interactive ones go first
    #[argh(switch)]
    pub(crate) deferrable: bool,
    /// a customer that may use it; may be given more than once; all may if none is given
    #[argh(option)]
    pub(crate) customer: Vec<CustomerId>,
}

/// Remove a route.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct RouteRemove {
    /// the route's id
    #[argh(positional)]
    pub(crate) id: RouteId,
}

/// Targets: single replicas.
#[derive(FromArgs)]
#[argh(subcommand, name = "target")]
pub(crate) struct TargetArgs {
    #[argh(subcommand)]
    pub(crate) command: TargetCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum TargetCommand {
    List(ListArgs),
    Put(TargetPut),
    Leave(TargetLeave),
    Remove(TargetRemove),
}

/// Create or replace a target.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct TargetPut {
    /// the target's id
    #[argh(positional)]
    pub(crate) id: TargetId,
    /// the pool it belongs to
    #[argh(option)]
    pub(crate) pool: PoolId,
    /// where it listens: an IP address and a port
    #[argh(option)]
    pub(crate) address: SocketAddr,
    /// the failure domain it runs in
    #[argh(option)]
    pub(crate) failure_domain: FailureDomain,
    /// it returns the x-request-id of a request on the answer
    #[argh(switch)]
    pub(crate) echoes_request_id: bool,
    /// it refuses version commands with a stale fencing token
    #[argh(switch)]
    pub(crate) checks_fencing: bool,
}

/// Drain a target: requests in flight finish, and it gets no new ones.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub(crate) struct TargetLeave {
    /// the target's id
    #[argh(positional)]
    pub(crate) id: TargetId,
}

/// Remove a target.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct TargetRemove {
    /// the target's id
    #[argh(positional)]
    pub(crate) id: TargetId,
}

/// Versions of pools' weights.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct VersionArgs {
    #[argh(subcommand)]
    pub(crate) command: VersionCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum VersionCommand {
    List(ListArgs),
    Put(VersionPut),
    Remove(VersionRemove),
}

/// Create or replace a version.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct VersionPut {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: PoolId,
    /// the number of the version
    #[argh(positional)]
    pub(crate) number: VersionNumber,
    /// the name of the weights in the weight store
    #[argh(option)]
    pub(crate) weights: String,
}

/// Remove a version that its pool does not run.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct VersionRemove {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: PoolId,
    /// the number of the version
    #[argh(positional)]
    pub(crate) number: VersionNumber,
}

/// Moves of pools from one version to another.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct MoveArgs {
    #[argh(subcommand)]
    pub(crate) command: MoveCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum MoveCommand {
    List(ListArgs),
    Start(MoveStart),
    Watch(MoveWatch),
    TakeBack(MoveTakeBack),
}

/// Start a move from the pool's current version to another.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct MoveStart {
    /// the move's id
    #[argh(positional)]
    pub(crate) id: MoveId,
    /// the pool
    #[argh(option)]
    pub(crate) pool: PoolId,
    /// the version to move to
    #[argh(option)]
    pub(crate) to: VersionNumber,
    /// seconds until it must be done or rolled back
    #[argh(option, default = "600")]
    pub(crate) deadline_s: u64,
}

/// Watch a move until it is done or rolled back; exit code 1 if it was rolled back.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct MoveWatch {
    /// the move's id
    #[argh(positional)]
    pub(crate) id: MoveId,
}

/// Roll a move back to the old version.
#[derive(FromArgs)]
#[argh(subcommand, name = "take-back")]
pub(crate) struct MoveTakeBack {
    /// the move's id
    #[argh(positional)]
    pub(crate) id: MoveId,
}

/// Bring the catalog to the content of a file, in one change.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Show what `apply` would change; exit code 3 if there are differences.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Check whether a catalog file could be applied now, without applying it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Print what the log files of daemons say about a request, in time order.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the id of the request, as returned to the caller
    #[argh(positional)]
    pub(crate) request: String,
    /// log files; `-` is standard input
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// The status of the daemon that answers, its instances and its targets.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// All instances in the platform's list.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
pub(crate) struct InstancesArgs {}

/// All targets as seen by the daemon that answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArgs {}
