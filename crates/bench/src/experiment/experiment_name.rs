//! The names of the experiments.

/// An experiment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExperimentName {
    /// Prefix affinity against round robin.
    Affinity,
    /// Batch with online bursts.
    Burst,
    /// Configuration changes on many entries and sidecars.
    ConfigSpread,
    /// Rolling restart of the whole deployment under load.
    Drain,
    /// A batch job through crashes, freezes and outages.
    Failover,
    /// One faulty target among healthy ones.
    FaultyTarget,
    /// Batch with steady online load.
    Mixed,
    /// Calls through entry and sidecar against direct calls.
    Online,
    /// Load beyond the capacity of the targets.
    Overload,
}

impl ExperimentName {
    /// All experiments.
    pub const ALL: [Self; 9] = [
        Self::Affinity,
        Self::Burst,
        Self::ConfigSpread,
        Self::Drain,
        Self::Failover,
        Self::FaultyTarget,
        Self::Mixed,
        Self::Online,
        Self::Overload,
    ];

    /// Returns the name used on the command line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Affinity => "affinity",
            Self::Burst => "burst",
            Self::ConfigSpread => "config-spread",
            Self::Drain => "drain",
            Self::Failover => "failover",
            Self::FaultyTarget => "faulty-target",
            Self::Mixed => "mixed",
            Self::Online => "online",
            Self::Overload => "overload",
        }
    }

    /// Returns a description in one line.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            Self::Affinity => "prefix cache hits and time to first token, against round robin",
            Self::Burst => "batch with online bursts: added latency, throughput, slots returned",
            Self::ConfigSpread => {
                "time until a configuration change is active everywhere, and its calls"
            }
            Self::Drain => "rolling restart of every entry and sidecar under load",
            Self::Failover => "a batch job through crashes, freezes and an outage",
            Self::FaultyTarget => "one slow, crashed or half-open target out of 12",
            Self::Mixed => {
                "batch with steady online load, against a shared queue and a static split"
            }
            Self::Online => {
                "latency and throughput through entry and sidecar, against direct calls"
            }
            Self::Overload => "goodput from half to four times capacity, against no limits",
        }
    }

    /// Returns the number of measured phases.
    #[must_use]
    pub fn phase_count(self) -> u32 {
        match self {
            Self::ConfigSpread | Self::Drain | Self::Failover => 1,
            Self::Affinity => 2,
            Self::Burst => 3,
            Self::Online => 4,
            Self::FaultyTarget => 6,
            Self::Mixed => 9,
            Self::Overload => 11,
        }
    }

    /// Parses a name as written by [`Self::as_str`].
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.as_str() == text)
    }
}
