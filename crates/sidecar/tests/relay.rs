//! A configuration reaches every sidecar in time while the platform refuses any subset of them.

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use support::platform::EmulatedPlatform;
use support::{Machine, configuration, eventually, route};
use wharfquay_sidecar::configuration::Configuration;

const MACHINES: usize = 4;
/// Time within which a configuration that the platform acknowledged is in force.
const LIMIT: Duration = Duration::from_secs(2);

fn version(number: u64) -> Configuration {
    configuration(number, vec![route("/reads/", "shelf", true)])
}

struct Deployment {
    platforms: Vec<Arc<EmulatedPlatform>>,
    machines: Vec<Machine>,
}

impl Deployment {
    async fn start() -> Self {
        let operator = EmulatedPlatform::new(Some(version(1)));
        let mut deployment = Self {
            platforms: Vec::new(),
            machines: Vec::new(),
        };
        for number in 0..MACHINES {
            let platform = Arc::new(operator.for_another_machine());
            let name = format!("machine-{number}");
            let machine = Machine::start(&platform, &name, "shelf").await;
            deployment.platforms.push(platform);
            deployment.machines.push(machine);
        }
        let all = format!("wharfquay_members{{state=\"alive\"}} {MACHINES}");
        for machine in &deployment.machines {
            eventually("the sidecars have discovered each other", || {
                machine.sidecar.metrics_text().contains(&all)
            })
            .await;
        }
        deployment.wait_for(1, "at the start").await;
        deployment
    }

    /// Refuses the machines whose bit is set, and serves the others.
    fn refuse(&self, subset: usize) {
        for (number, platform) in self.platforms.iter().enumerate() {
            platform.set_down(subset & (1 << number) != 0);
        }
    }

    fn in_force(&self, number: usize) -> u64 {
        let metrics = self.machines[number].sidecar.metrics_text();
        let line = metrics
            .lines()
            .find_map(|line| line.strip_prefix("wharfquay_configuration_version "));
        line.unwrap().parse().unwrap()
    }

    async fn wait_for(&self, version: u64, what: &str) {
        let started = Instant::now();
        for number in 0..MACHINES {
            while self.in_force(number) != version {
                let waited = started.elapsed();
                assert!(
                    waited < LIMIT,
                    "{what}: machine {number} has an older version"
                );
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_reaches_all_sidecars_while_the_platform_refuses_any_subset() {
    let deployment = Deployment::start().await;
    let all = (1 << MACHINES) - 1;
    for subset in 0..all {
        let number = 10 + subset as u64;
        deployment.refuse(subset);
        deployment.platforms[0].publish(version(number));
        deployment
            .wait_for(number, &format!("refused {subset:04b}"))
            .await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_is_in_force_soon_after_the_platform_serves_one_sidecar_again() {
    let deployment = Deployment::start().await;
    let all = (1 << MACHINES) - 1;
    deployment.refuse(all);
    deployment.platforms[0].publish(version(20));
    tokio::time::sleep(LIMIT).await;
    assert!((0..MACHINES).all(|number| deployment.in_force(number) == 1));
    deployment.refuse(all - 1);
    deployment.wait_for(20, "one sidecar is served again").await;
}
