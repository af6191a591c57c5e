//! Decides whether an answer that only the end of its connection marks as whole was cut by a crash.

use std::time::Duration;

use policy::admission::WithholdReason;
use web::client::CallError;

use crate::connections::ReusableConnection;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::gateway::{Gateway, lock};
use crate::placement::PlacedTarget;
use crate::target_client::{self, AnswerLimits};

/// What the report that is asked for may take: the caller waits for it.
const REPORT_LIMITS: AnswerLimits =
    AnswerLimits { timeout: Duration::from_millis(200), max_bytes: 64 << 10 };

/// Fails if the body that ended on this connection may have been cut short: nothing but the end of the
/// connection marked its end, and the process that wrote it is gone.
pub(crate) async fn check<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &PlacedTarget,
    ended: &ReusableConnection,
) -> Result<(), CallError> {
    gateway.connections.check_end(ended).await?;
    if ended.is_unframed() && was_replaced(gateway, target).await {
        let text = "the answer ended with its connection, and another process has taken its place";
        return Err(CallError::Broken(text.into()));
    }
    Ok(())
}

/// Whether the replica says that it is another one, or was started at another time, than was listed. A
/// replica that says neither is taken for the same process.
async fn was_replaced<D: Dialect, S: Directory>(
    gateway: &Gateway<D, S>,
    target: &PlacedTarget,
) -> bool {
    let request = gateway.dialect.report_request();
    // The request under way runs to its end, also in an evacuated failure domain.
    let admit = || match lock(&gateway.fleet).admit_probe(gateway.now(), target) {
        Err(WithholdReason::Evacuated) => Ok(()),
        other => other,
    };
    let (address, id) = (target.address, target.id.as_str());
    let answer =
        target_client::send_request(gateway, address, id, request, REPORT_LIMITS, admit).await;
    let Ok(answer) = answer else { return false };
    // A replica without reports still names itself in its refusal.
    let own_id = gateway.dialect.parse_answer(answer.headers()).target;
    let incarnation = gateway.dialect.parse_report(answer.body()).and_then(|it| it.incarnation);
    own_id.is_some_and(|it| *it != *target.id.as_str())
        || incarnation.is_some_and(|it| it != target.incarnation)
}
