//! The parts of a control state that stand behind it in a message.

use ids::FailureDomain;
use serde::{Deserialize, Serialize};

use crate::config::{ControlState, RegionRules};

/// Begins the extension of a control state. No encoded integer begins with this byte, so that daemons
/// of the version before, which expect a stamp in its place, reject it and keep the state.
pub(crate) const CONTROL_EXTENSION_MARK: u8 = 0xff;

/// Parts of a control state that daemons of the version before do not know. It stands behind the
/// state if there are any.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct ControlExtension {
    evacuated: Option<Vec<FailureDomain>>,
    regions: RegionRules,
}

impl ControlExtension {
    /// The encoded extension of a state; empty if the state needs none.
    pub(crate) fn encode(state: &ControlState) -> Option<Vec<u8>> {
        let regions = state.config.as_ref().map(|it| &it.regions).filter(|it| !it.is_empty());
        if state.evacuated.is_none() && regions.is_none() {
            return Some(Vec::new());
        }
        let regions = regions.cloned().unwrap_or_default();
        let extension = ControlExtension { evacuated: state.evacuated.clone(), regions };
        let mut bytes = vec![CONTROL_EXTENSION_MARK];
        bytes.extend(bincode::serde::encode_to_vec(extension, bincode::config::standard()).ok()?);
        Some(bytes)
    }

    /// Adds these parts to the state that stands before them.
    pub(crate) fn apply(self, state: &mut ControlState) {
        state.evacuated = self.evacuated;
        if let Some(config) = &mut state.config {
            config.regions = self.regions;
        }
    }
}
