//! Prints the time of a routing decision and the memory of the cache index, one JSON object per line.

use paddlemount_bench::decision::{DecisionBenchSettings, run};

fn main() -> Result<(), serde_json::Error> {
    for result in run(&DecisionBenchSettings::default()) {
        println!("{}", serde_json::to_string(&result)?);
    }
    Ok(())
}
