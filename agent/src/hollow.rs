//! Hollow agents, for tests of fleets too large for one machine: the control parts of a real agent on real
//! sockets, without a data path (no listener for clients, no connection to a server, no timer of the decision
//! module).

use crate::admin_client::configuration::InForce;
use crate::config::Config;
use crate::configuration::NoDataPath;
use crate::control::{Control, ControlConfig, Core};
use std::net::SocketAddr;
use std::rc::Rc;

/// An agent without a data path. It lives on the thread and the [`tokio::task::LocalSet`] on which it was
/// started; dropping it stops it at once, like a killed process.
///
/// ```
/// use dilljunction_agent::{Config, HollowAgent, Features};
///
/// let text = br#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0",
///     "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:61001"], "settings": {"slotNo": 0, "limits": {"peers": true},
///     "classes": [{"name": "read", "effect": "idempotent", "aimMs": 200, "deadlineMs": 400, "points": 1}]}}"#;
/// let config = Config::parse(text, Features::parse("[fleet]").expect("usable")).expect("usable");
/// let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
/// tokio::task::LocalSet::new().block_on(&runtime, async {
///     let agent = HollowAgent::start(config).await.expect("free ports");
///     assert!(agent.peers_address().is_some() && agent.admin().is_some());
/// });
/// ```
pub struct HollowAgent {
    control: Control,
    _core: Core,
}

/// A summary of an agent's membership view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSummary {
    /// The agent's generation.
    pub generation: u64,
    /// Equal for two agents exactly if they know the same members in the same generations, and the same ones
    /// as dead.
    pub digest: u64,
    /// Whether the view has converged: the agent takes it for that of the whole fleet.
    pub converged: bool,
    /// Present members, including itself.
    pub present: usize,
}

impl HollowAgent {
    /// Starts the control parts; must be called on a [`tokio::task::LocalSet`]. Fails if the decision module
    /// refuses the configuration or an address can't be listened on. The server list is followed whatever the
    /// settings, since no request will trigger it.
    pub async fn start(mut config: Config) -> Result<HollowAgent, String> {
        let core = Core::new(&mut config)?;
        let target = Rc::new(NoDataPath);
        let control_config =
            ControlConfig { peers: config.peers, admin: config.admin, inherited: false, target };
        let control = Control::start(&core, control_config).await?;
        core.commands.set_watching(true);
        Ok(HollowAgent { control, _core: core })
    }

    /// The address at which other agents reach this one, if `[fleet]` is on.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.control.peers.as_ref()?.address()
    }

    /// The address of the admin listener, if there is one.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.control.admin
    }

    /// The version in force of the service that it follows, if `[configuration]` is on and a change has
    /// arrived.
    pub fn in_force(&self) -> Option<InForce> {
        self.control.peers.as_ref()?.followed_in_force()
    }

    /// A summary of its view, if `[fleet]` is on.
    pub fn summary(&self) -> Option<FleetSummary> {
        self.control.peers.as_ref().map(|peers| peers.summary())
    }
}
