//! The fields of each noun and the settings of each object.

use super::FieldSchema;
use crate::value::Kind::{Bool, Duration, List, Number, Text, Time};

macro_rules! fields {
    ($($(#[$documentation:meta])* $list:ident { $($name:literal $kind:ident $help:literal;)* })*) => {$(
        $(#[$documentation])*
        pub const $list: &[FieldSchema] =
            &[$(FieldSchema { name: $name, kind: $kind, help: $help }),*];
    )*};
}

fields! {
    COMMON {
        "node" Text "the node that answers";
        "age" Duration "how long ago the answering node learned this";
    }
    TENANTS {
        "tenant" Text "its name";
        "weight" Number "its share of a contended pool, relative to other tenants";
        "requests_per_second" Number "its quota over all nodes";
        "tokens_per_second" Number "its quota over all nodes";
        "concurrent_requests" Number "its quota over all nodes";
        "models" List "models it may use; empty means all";
        "keys" Number "caller keys it has";
    }
    POOLS {
        "pool" Text "its name";
        "model" Text "the model it serves";
        "weights" Number "the weights version that new requests use";
        "rollout" Number "the version that is being rolled out";
        "adapters" List "adapters to be loaded";
        "reuse_weight" Number "0 favours time to first token, 1 favours reuse of cached prefixes";
        "engines" Number "engines that the answering node knows of";
        "ready" Number "engines that take new work";
    }
    SERVICES {
        "service" Text "its name";
        "repeatable_operations" List "operations that may be sent again after an unclear ending";
        "instances" Number "instances that the answering node knows of";
    }
    VERSIONS {
        "pool" Text "the pool";
        "version" Number "the weights version";
        "model" Text "the model";
        "role" Text "serving, rolling_out or other";
        "engines" Number "engines that have loaded it";
        "ready" Number "engines of it that take new work";
    }
    ENGINES {
        "engine" Text "its name";
        "pool" Text "its pool";
        "zone" Text "its zone";
        "incarnation" Number "its current incarnation";
        "model" Text "the loaded model";
        "weights" Number "the loaded weights version";
        "role" Text "serving or standby";
        "draining" Bool "whether it takes no new work";
        "rests_ms" Number "milliseconds left of the back-off that it requested from the node";
        "running" Number "requests in its batch, as last reported";
        "waiting" Number "requests that wait to enter the batch, as last reported";
        "queued_prefill_tokens" Number "prompt tokens yet to be read, as last reported";
        "cached_blocks" Number "blocks in its cache, as last reported";
        "in_flight" Number "requests of the answering node that run there";
        "fence" Number "the highest fencing token it has obeyed";
    }
    NODES {
        "member" Text "the node's name";
        "zone" Text "its zone";
        "region" Text "its region";
        "address" Text "where it listens to other nodes";
        "incarnation" Number "its current incarnation";
        "state" Text "alive, suspect, leaving or dead";
        "revision" Number "the configuration revision it is known to have in force";
        "in_flight" Number "requests that run there, where it answered itself";
    }
    PREFIXES {
        "prefix" Text "the hash of its last block";
        "pool" Text "the pool";
        "tenant" Text "the tenant";
        "tokens" Number "its length";
        "heat" Number "requests a second that begin with it, at the answering node";
        "holders" List "engines believed to hold it";
        "copies" Number "how many engines are believed to hold it";
        "target" Number "how many engines it is spread over";
    }
    REQUESTS {
        "request" Text "its identity";
        "tenant" Text "its tenant";
        "pool" Text "its pool";
        "at" Time "when it arrived";
        "state" Text "running or ended";
        "ending" Text "completed, not_run, unknown or cancelled";
        "code" Text "the code of the refusal";
        "engine" Text "the engine of its last attempt";
        "tries" Number "how often it was sent";
        "priority" Text "low, normal or high";
        "prompt_tokens" Number "tokens of the prompt";
        "cached_tokens" Number "prompt tokens found in the engine's cache";
        "completion_tokens" Number "tokens generated";
        "queued" Duration "from its arrival until it was sent";
        "first_token" Duration "from its arrival to the first token";
        "total" Duration "from its arrival to its end";
        "trace" Text "the trace id";
    }
    DECISIONS {
        "request" Text "the request";
        "tenant" Text "its tenant";
        "pool" Text "its pool";
        "at" Time "when it arrived";
        "kept" Text "why it is on record: refused, retried, slow or sampled";
        "engine" Text "the engine weighed";
        "place" Number "1 for the best, 2 for the next";
        "chosen" Bool "whether the first attempt went there";
        "cost" Number "the total that decides; lower is better";
        "wait" Duration "predicted wait";
        "prefill" Duration "predicted prefill of the tokens that are not cached";
        "import" Duration "predicted import of kept cache";
        "distance" Duration "network distance";
        "copy" Duration "penalty for recomputing what another engine holds";
        "affinity" Duration "penalty for an engine that is not the prefix's preferred one";
        "rank" Number "its rank among the prefix's preferred engines, from 0";
        "confidence" Number "from 0 to 1: how likely it still holds what it was believed to hold";
        "belief_age" Duration "since it was last known to use the cached blocks";
        "expected_cached_tokens" Number "prompt tokens believed to be cached there";
        "load_age" Duration "age of the load report it relied on";
        "reason" Text "why the choice fell";
    }
    CHANGES {
        "change" Text "its identity";
        "operator" Text "who asked for it";
        "at" Time "when it was asked for";
        "outcome" Text "in_force, accepted, would_apply, refused, unknown or recorded";
        "revision" Number "the revision it made, or the one it was refused at";
        "based_on" Number "the revision it was based on";
        "command" Text "the command";
        "detail" Text "why it was refused, or what settles it";
    }
    CLAIMS {
        "key" Text "the idempotency key";
        "tenant" Text "its tenant";
        "service" Text "the service";
        "operation" Text "the operation";
        "state" Text "running, completed, not_run or unknown";
        "holder" Text "the node that runs it";
        "at" Time "when it was claimed";
    }
    LEASES {
        "lease" Text "its name";
        "holder" Text "the node that holds it";
        "token" Number "its fencing token";
        "remaining" Duration "how long it lasts without renewal";
    }
    ORDERS {
        "id" Text "its identity";
        "engine" Text "the engine";
        "pool" Text "its pool";
        "command" Text "what it asks for";
        "token" Number "the fencing token it carries";
        "state" Text "sent, obeyed, fenced or failed";
        "at" Time "when it was sent";
        "detail" Text "why it failed";
    }
    LIMITS {
        "tenant" Text "the tenant";
        "kind" Text "requests_per_second, tokens_per_second or concurrent_requests";
        "quota" Number "the quota over all nodes";
        "share" Number "the part of it that the answering node may use";
        "used" Number "requests in progress at the answering node, for concurrent_requests";
        "refused" Number "requests of the tenant that any limit has refused at the answering node";
    }
    ALERTS {
        "alert" Text "its name";
        "severity" Text "warning or critical";
        "subject" Text "what it concerns";
        "since" Time "when it began";
        "detail" Text "what is wrong and what to do";
    }
    EVENTS {
        "at" Time "when it happened";
        "mechanism" Text "the mechanism";
        "event" Text "what happened";
        "subject" Text "what it concerns";
        "detail" Text "figures and reasons";
    }
    TENANT_SETTINGS {
        "weight" Number "share of a contended pool, relative to other tenants";
        "requests_per_second" Number "quota over all nodes, or none";
        "tokens_per_second" Number "quota over all nodes, or none";
        "concurrent_requests" Number "quota over all nodes, or none";
        "models" List "models it may use; empty means all";
        "key_hashes" List "SHA-256 of each caller key, in hexadecimal";
    }
    POOL_SETTINGS {
        "model" Text "the model it serves";
        "weights" Number "the weights version that new requests use";
        "adapters" List "adapters to be loaded";
        "reuse_weight" Number "from 0 to 1: 0 favours time to first token, 1 reuse of cached prefixes";
    }
    SERVICE_SETTINGS {
        "repeatable_operations" List "operations that may be sent again after an unclear ending";
    }
}
