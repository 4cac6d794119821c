//! rpc
