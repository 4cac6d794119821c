//! State dumps: of this process, and of entry VMs over HTTP.

use std::{net::SocketAddr, time::Duration};

use model::name::Name;
use ntex::client::Client;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::state::State;

/// Maximum time for an entry VM to answer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Maximum size of an entry VM's dump, in bytes.
const MAX_DUMP_BYTES: usize = 16 << 20;

/// Returns the state of this process as JSON.
#[must_use]
pub fn own_state(state: &State) -> Value {
    let now_ms = state.now_ms();
    let status = state.replica.status();
    let config = state.delivered.borrow().newest().clone();
    let soft = state.soft_state();
    let vms: Vec<_> = soft.vms.all(now_ms).collect();
    let live: Vec<&Name> = soft.vms.live(now_ms).map(|heard| &heard.vm).collect();
    let upstreams: Vec<_> = soft.upstreams.all().collect();
    json!({
        "name": state.name,
        "uptime_ms": now_ms,
        "replica": {
            "is_leader": status.is_leader,
            "leader": status.leader,
            "term": status.term,
            "committed": status.committed,
            "voters": status.voters,
            "learners": status.learners,
        },
        "entry_vms": vms,
        "live_entry_vms": live,
        "knows_all_entry_vms": soft.vms.knows_all_live_vms(now_ms),
        "announced_upstreams": upstreams,
        "config": *config,
    })
}

/// Returns the state of the VM named `vm` as JSON, or of this process if the name is empty.
///
/// # Errors
///
/// Says why no dump is available.
pub async fn vm_state(state: &State, vm: &str) -> Result<String, String> {
    if vm.is_empty() || vm == state.name.as_str() {
        return Ok(own_state(state).to_string());
    }
    let now_ms = state.now_ms();
    let address = {
        let soft = state.soft_state();
        let mut vms = soft.vms.all(now_ms);
        vms.find(|heard| heard.vm.as_str() == vm)
            .map(|heard| heard.http_address)
    };
    match address {
        Some(address) => fetch(vm, address).await,
        None => Err(format!(
            "{vm} is neither an entry VM known to {} nor its own name: check `oriolectl status`, or \
             ask another control VM for its own dump",
            state.name
        )),
    }
}

/// Returns the states of this control VM and of all live entry VMs as JSON, by name. An entry VM
/// whose dump fails has the reason instead.
pub async fn all_states(state: &State) -> String {
    let now_ms = state.now_ms();
    let vms: Vec<(Name, SocketAddr)> = {
        let soft = state.soft_state();
        let live = soft.vms.live(now_ms);
        live.map(|heard| (heard.vm.clone(), heard.http_address))
            .collect()
    };
    let mut dumps = serde_json::Map::new();
    dumps.insert(state.name.to_string(), own_state(state));
    for (vm, address) in vms {
        let dump = match fetch(vm.as_str(), address).await {
            Ok(text) => serde_json::from_str(&text).unwrap_or(Value::Null),
            Err(reason) => json!({ "error": reason }),
        };
        dumps.insert(vm.to_string(), dump);
    }
    Value::Object(dumps).to_string()
}

async fn fetch(vm: &str, address: SocketAddr) -> Result<String, String> {
    let got = timeout(ANSWER_WAIT, get(address)).await;
    let got = got.unwrap_or_else(|_| Err(format!("no answer within {ANSWER_WAIT:?}")));
    got.map_err(|reason| {
        format!(
            "can't get the dump of {vm} from http://{address}/dump: {reason}; check that it runs"
        )
    })
}

async fn get(address: SocketAddr) -> Result<String, String> {
    let client = Client::new().await;
    let request = client.get(format!("http://{address}/dump"));
    let response = request.send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("HTTP status {}", response.status()));
    }
    let body = response.body().limit(MAX_DUMP_BYTES);
    let body = body.await.map_err(|e| e.to_string())?;
    String::from_utf8(body.to_vec()).map_err(|e| e.to_string())
}
