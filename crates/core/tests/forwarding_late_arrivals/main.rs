//! Retries whose attempts are read late, by one node and by all nodes together.

mod all_nodes;
mod lost_earnings;
mod node;
mod one_node;
mod world;
