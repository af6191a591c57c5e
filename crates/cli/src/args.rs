//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use ids::{
    CustomerId, FailureDomain, KeyId, MoveId, PoolId, RouteId, TargetId, TokenCount, TokenRate,
    VersionNumber,
};

/// Administers a kingcupshift fleet through any of its daemons.
///
/// Every change takes force on all daemons within seconds. Try `kingcupshift status`, then
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

/// Customers and their shares.
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

/// Create a customer, or change one.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct CustomerPut {
    /// its id
    #[argh(positional)]
    pub(crate) id: CustomerId,
    /// tokens a second over the whole fleet
    #[argh(option)]
    pub(crate) rate: TokenRate,
    /// tokens it may take at once after a quiet time
    #[argh(option)]
    pub(crate) burst: TokenCount,
    /// its weight when targets are scarce
    #[argh(option, default = "1")]
    pub(crate) weight: u32,
}

/// Remove a customer and its keys.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct CustomerRemove {
    /// its id
    #[argh(positional)]
    pub(crate) id: CustomerId,
}

/// Caller keys. A secret is shown once, at creation, and kept nowhere.
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
    /// whose requests it carries
    #[argh(option)]
    pub(crate) customer: CustomerId,
}

/// Withdraw a key; works while the table is down, too.
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

/// Create a pool, or change one.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct PoolPut {
    /// its id; for engines the model's name
    #[argh(positional)]
    pub(crate) id: PoolId,
    /// engine, service or kv_store
    #[argh(option)]
    pub(crate) kind: String,
    /// the version that new requests run on
    #[argh(option, default = "VersionNumber(1)")]
    pub(crate) version: VersionNumber,
    /// requests one replica runs at once
    #[argh(option, default = "16")]
    pub(crate) concurrency: u32,
}

/// Remove a pool that nothing names.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct PoolRemove {
    /// its id
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

/// Create a route, or change one: to a model with --model, to a plain service with --prefix.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct RoutePut {
    /// its id
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
    /// a method that may be repeated, besides GET, HEAD and OPTIONS; may be given more than once
    #[argh(option)]
    pub(crate) repeatable: Vec<String>,
    /// tokens charged for each call of a plain service
    #[argh(option, default = "TokenCount(1)")]
    pub(crate) cost: TokenCount,
    /// everyone may use it, without a key
    #[argh(switch)]
    pub(crate) open: bool,
    /// its traffic may wait
    #[argh(switch)]
    pub(crate) deferrable: bool,
    /// a customer that may use it; may be given more than once; none: all
    #[argh(option)]
    pub(crate) customer: Vec<CustomerId>,
}

/// Remove a route.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct RouteRemove {
    /// its id
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

/// Create a target, or change one.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct TargetPut {
    /// its id
    #[argh(positional)]
    pub(crate) id: TargetId,
    /// its pool
    #[argh(option)]
    pub(crate) pool: PoolId,
    /// where it listens, an IP number and a port
    #[argh(option)]
    pub(crate) address: SocketAddr,
    /// its failure domain
    #[argh(option)]
    pub(crate) failure_domain: FailureDomain,
    /// it repeats the request id on its answers
    #[argh(switch)]
    pub(crate) echoes_request_id: bool,
    /// it refuses orders with an old fencing number
    #[argh(switch)]
    pub(crate) checks_fencing: bool,
}

/// Give a target no new work.
#[derive(FromArgs)]
#[argh(subcommand, name = "leave")]
pub(crate) struct TargetLeave {
    /// its id
    #[argh(positional)]
    pub(crate) id: TargetId,
}

/// Remove a target.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct TargetRemove {
    /// its id
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

/// Create a version, or change one.
#[derive(FromArgs)]
#[argh(subcommand, name = "put")]
pub(crate) struct VersionPut {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: PoolId,
    /// its number
    #[argh(positional)]
    pub(crate) number: VersionNumber,
    /// the weights' name in the weight store
    #[argh(option)]
    pub(crate) weights: String,
}

/// Remove a version that no pool runs.
#[derive(FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct VersionRemove {
    /// the pool
    #[argh(positional)]
    pub(crate) pool: PoolId,
    /// its number
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

/// Start a move.
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
    /// seconds until it must be done or taken back
    #[argh(option, default = "600")]
    pub(crate) deadline_s: u64,
}

/// Watch a move until it is done or taken back; exit code 1 if it was taken back.
#[derive(FromArgs)]
#[argh(subcommand, name = "watch")]
pub(crate) struct MoveWatch {
    /// the move's id
    #[argh(positional)]
    pub(crate) id: MoveId,
}

/// Take a move back.
#[derive(FromArgs)]
#[argh(subcommand, name = "take-back")]
pub(crate) struct MoveTakeBack {
    /// the move's id
    #[argh(positional)]
    pub(crate) id: MoveId,
}

/// Make the catalog what a file says, in one change.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Show what `apply` would change; exit code 3 if there is anything.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Check a catalog file against the catalog in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// the catalog file, JSON with comments
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Print a request's story from the log files of daemons, in the order of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// the request's id, as callers know it
    #[argh(positional)]
    pub(crate) request: String,
    /// log files; `-` is standard input
    #[argh(positional)]
    pub(crate) files: Vec<PathBuf>,
}

/// The state of the daemon that answers.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {}

/// All instances as the platform lists them.
#[derive(FromArgs)]
#[argh(subcommand, name = "instances")]
pub(crate) struct InstancesArgs {}

/// All targets as the daemon that answers sees them.
#[derive(FromArgs)]
#[argh(subcommand, name = "targets")]
pub(crate) struct TargetsArgs {}
