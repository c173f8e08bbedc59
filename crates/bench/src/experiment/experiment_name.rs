//! The names of the experiments.

/// The experiments.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExperimentName {
    /// Prefix affinity against round robin.
    Affinity,
    /// Batch beside online with bursts.
    Burst,
    /// Configuration changes over many followers.
    ConfigSpread,
    /// Rolling restart of the whole deployment under load.
    Drain,
    /// A batch job through deaths, pauses and outages.
    Failover,
    /// One bad target among good ones.
    FaultyTarget,
    /// Batch beside steady online load.
    Mixed,
    /// The path against direct calls.
    Online,
    /// More requests than the targets can answer.
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

    /// Returns the name as operators write it.
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

    /// Describes the experiment in a line.
    #[must_use]
    pub fn description(self) -> &'static str {
        match self {
            Self::Affinity => "prefix cache hits and first tokens, against round robin",
            Self::Burst => "batch beside online bursts: harm, throughput, slots given back",
            Self::ConfigSpread => "time until a change is in force everywhere, calls it costs",
            Self::Drain => "rolling restart of every entry and sidecar under load",
            Self::Failover => "a batch job through deaths, pauses and an outage",
            Self::FaultyTarget => "one slow, dead or half-open target out of 12",
            Self::Mixed => "batch beside steady online load, against a shared queue and a split",
            Self::Online => "latency and throughput of the path, against direct calls",
            Self::Overload => "goodput from half to four times capacity, against no limits",
        }
    }

    /// Returns the number of measured phases.
    #[must_use]
    pub fn phases(self) -> u32 {
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

    /// Finds the experiment that a text names.
    #[must_use]
    pub fn from_text(text: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|name| name.as_str() == text)
    }
}
