//! A hollow agent, for tests of fleets that are larger than a machine has room for: the control parts of a real agent on their
//! own real sockets, and no data path (no listener for clients, no connection to a server, no timer of the balancer).

use crate::config::Config;
use crate::configuration::NoDataPath;
use crate::control::{Control, ControlConfig, Core};
use crate::operators::configuration::InForce;
use std::net::SocketAddr;
use std::rc::Rc;

/// An agent without a data path. It lives on the thread and the [`tokio::task::LocalSet`] on which it was started; when it is
/// dropped it stops at once, as a process that is killed.
///
/// ```
/// use dilljunction_agent::{Config, HollowAgent, Switches};
///
/// let text = br#"{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "admin": "127.0.0.1:0",
///     "peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:61001"], "settings": {"slotNo": 0, "limits": {"peers": true},
///     "classes": [{"name": "read", "effect": "idempotent", "aimMs": 200, "deadlineMs": 400, "points": 1}]}}"#;
/// let config = Config::parse(text, Switches::parse("[fleet]").expect("usable")).expect("usable");
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

/// What an agent's view of the fleet comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSummary {
    /// Which of the agent's lives this is.
    pub life: u64,
    /// Equal for two agents exactly if they hold the same members in the same lives, and the same of them gone.
    pub digest: u64,
    /// Whether the agent takes its view for that of the fleet.
    pub sure: bool,
    /// Members that are there, itself among them.
    pub present: usize,
}

impl HollowAgent {
    /// Starts the control parts; must be called on a [`tokio::task::LocalSet`]. Fails if the configuration can't be decided
    /// by or one of its addresses can't be listened on. The list is watched whatever the settings say, since no request
    /// will ever ask for it.
    pub async fn start(mut config: Config) -> Result<HollowAgent, String> {
        let core = Core::new(&mut config)?;
        let target = Rc::new(NoDataPath);
        let told = ControlConfig { peers: config.peers, admin: config.admin, inherited: false, target };
        let control = Control::start(&core, told).await?;
        core.commands.follow(true);
        Ok(HollowAgent { control, _core: core })
    }

    /// Where other agents reach this one, if `[fleet]` is on.
    pub fn peers_address(&self) -> Option<SocketAddr> {
        self.control.peers.as_ref()?.address()
    }

    /// Where operators call, if they do.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.control.admin
    }

    /// What is in force of the service that it follows, if `[configuration]` is on and a change has come.
    pub fn in_force(&self) -> Option<InForce> {
        self.control.peers.as_ref()?.followed_in_force()
    }

    /// What its view comes to, if `[fleet]` is on.
    pub fn summary(&self) -> Option<FleetSummary> {
        self.control.peers.as_ref().map(|peers| peers.summary())
    }
}
