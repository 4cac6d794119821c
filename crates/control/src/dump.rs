//! Dumps of this process's state, and of entry VMs' through their HTTP.

use std::{net::SocketAddr, time::Duration};

use model::name::Name;
use ntex::client::Client;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::state::State;

/// Time that an entry VM gets to answer.
const ANSWER_WAIT: Duration = Duration::from_secs(2);

/// Largest dump that is passed on, in bytes.
const MAX_DUMP_BYTES: usize = 16 << 20;

/// This process's state as JSON.
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

/// State of the VM with the name `vm` as JSON; of this one where it is empty.
///
/// # Errors
///
/// Says why there is none.
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
            "{vm} is no entry VM that {} hears of, nor its own name: see `oriolectl status`, or \
             call another control VM for its own dump",
            state.name
        )),
    }
}

/// States of all live entry VMs and of this control VM as JSON, by name; the reason where there
/// is none.
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
        format!("{vm} gives no dump at http://{address}/dump: {reason}; see whether it runs")
    })
}

async fn get(address: SocketAddr) -> Result<String, String> {
    let client = Client::new().await;
    let request = client.get(format!("http://{address}/dump"));
    let response = request.send().await.map_err(|e| e.to_string())?;
    if !response.status().is_success() {
        return Err(format!("status {}", response.status()));
    }
    let body = response.body().limit(MAX_DUMP_BYTES);
    let body = body.await.map_err(|e| e.to_string())?;
    String::from_utf8(body.to_vec()).map_err(|e| e.to_string())
}
