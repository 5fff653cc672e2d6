//! Parses the `settings` object of a deployment, for the simulator's adapter and for the agent.

mod words;

use ryelead::*;
use serde::Deserialize;

/// A parsed settings object. Unknown keys are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(transparent)]
pub struct SettingsFile(words::Params);

impl SettingsFile {
    /// This instance's number among its peers, from 0, if the settings give it.
    pub fn number(&self) -> Option<u16> {
        self.0.slot_no
    }

    /// The settings as the decision crate's type; an absent key takes that crate's default.
    pub fn settings(&self) -> Settings {
        let params = &self.0;
        let defaults = Settings::default();
        let span_or = |ms: Option<f64>, default: Span| ms.map_or(default, Span::from_ms);
        let rules = &params.rules;
        let classes = params.classes.iter().map(class).collect();
        let report_field = |name: &String| match name.as_str() {
            "inflight" => ReportField::InFlight,
            "queue" => ReportField::Queue,
            "util" => ReportField::Utilisation,
            "latency_ms" => ReportField::ServiceTime,
            "qps" => ReportField::Rate,
            "eps" => ReportField::Errors,
            _ => ReportField::Other,
        };
        Settings {
            balancers: params.balancers.unwrap_or(defaults.balancers),
            zone: ZoneId(params.zone),
            classes,
            tenants: params
                .parties
                .iter()
                .map(|p| Tenant { fraction: p.fraction, allowance_per_s: p.allowance_per_s })
                .collect(),
            over_share_worth: params.over_share_worth.unwrap_or(defaults.over_share_worth),
            worth_by_work: params.worth_by == Some(words::WorthBy::Work),
            goal: Goal {
                whole: params.goal.whole,
                worst_window: params.goal.worst_window,
                worst_class: params.goal.worst_class,
                worst_tenant: params.goal.worst_tenant,
            },
            prices: Prices {
                cross_zone: params.penalties.cross_zone,
                probe: params.penalties.probe,
                handshake: params.penalties.handshake,
                connection: params.penalties.connection,
                waste: params.penalties.waste,
                late_fail: params.penalties.late_fail,
            },
            discovery: match params.discovery {
                Some(words::Discovery::OnRequest) => Discovery::OnRequest,
                Some(words::Discovery::Pushed) | None => Discovery::Pushed,
            },
            list_refresh_interval: span_or(rules.ask_within_ms, defaults.list_refresh_interval),
            report_source: match params.feedback.source {
                words::Source::Piggyback => ReportSource::Answers,
                words::Source::Pull => ReportSource::Probes,
                words::Source::Silent => ReportSource::None,
            },
            report_fields: params.feedback.fields.iter().map(report_field).collect(),
            weights: match params.weights {
                Some(words::Weights::Nominal | words::Weights::Rough) => WeightMeaning::Size,
                Some(words::Weights::Live) => WeightMeaning::Live,
                Some(words::Weights::Silent) | None => WeightMeaning::None,
            },
            warm_keys: params.family_info.warm_keys,
            max_attempts: params.limits.max_attempts.unwrap_or(defaults.max_attempts),
            hedging: params.limits.second_copies,
            cancel: params.limits.cancel,
            probes: params.limits.probes,
            peers: params.limits.peers,
            retry_after: params.limits.retry_after,
            max_retry_after: match params.limits.max_retry_after_ms {
                ms if ms > 0.0 => Span::from_ms(ms),
                _ => defaults.max_retry_after,
            },
            drain_grace: span_or(rules.stop_sending_within_ms, defaults.drain_grace),
            slow_start_initial_share: rules.cold_share.unwrap_or(defaults.slow_start_initial_share),
            slow_start_window: span_or(rules.warm_after_ms, defaults.slow_start_window),
            overload_factor: rules.overload_factor.unwrap_or(defaults.overload_factor),
            overload_crash_after: span_or(rules.fall_ms, defaults.overload_crash_after),
            event_interval: span_or(params.period_ms, defaults.event_interval),
        }
    }

    /// The names of the request classes, in the order of [`Settings::classes`].
    pub fn class_names(&self) -> Vec<String> {
        self.0.classes.iter().map(|c| c.name.clone()).collect()
    }

    /// The names of the tenants, in the order of [`Settings::tenants`].
    pub fn tenant_names(&self) -> Vec<String> {
        self.0.parties.iter().map(|p| p.name.clone()).collect()
    }

    /// The names of the zones; the index is the zone's number.
    pub fn zone_names(&self) -> &[String] {
        &self.0.zones
    }

    /// The names of the kinds of machine; the index is the kind's number.
    pub fn kind_names(&self) -> &[String] {
        &self.0.kinds
    }

    /// The names of the fields of a load report, in the order of [`Settings::report_fields`].
    pub fn report_names(&self) -> &[String] {
        &self.0.feedback.fields
    }

    /// How long a connection may be idle before a server closes it.
    pub fn keepalive(&self) -> Option<Span> {
        self.0.limits.keepalive_ms.map(Span::from_ms)
    }

    /// How long establishing a connection may take before it counts as failed.
    pub fn connect_timeout(&self) -> Option<Span> {
        self.0.limits.connect_timeout_ms.map(Span::from_ms)
    }

    /// The maximum number of requests that an agent may have open.
    pub fn max_open(&self) -> Option<usize> {
        self.0.limits.max_open.map(|n| n as usize)
    }
}

/// Converts a request class.
fn class(params: &words::ClassParams) -> Class {
    let effect = match params.effect {
        words::Effect::Idempotent => Effect::Idempotent,
        words::Effect::AtMostOnce => Effect::AtMostOnce,
        words::Effect::Deduplicated => Effect::Deduplicated {
            group: match params.group {
                Some(words::Group::All) => Group::All,
                Some(words::Group::Zone) => Group::Zone,
                // If no group is given, the narrowest is the safe choice: it allows a retry at the fewest servers.
                Some(words::Group::Cell) | None => Group::Cell,
            },
            window: Span::from_ms(params.dedup_window_ms),
        },
    };
    Class {
        effect,
        aim: Span::from_ms(params.aim_ms),
        aim_stretch: params.aim_stretch.unwrap_or(0.0),
        deadline: Span::from_ms(params.deadline_ms),
        worth: params.points,
        late_worth: params.late_worth,
        stream: params.stream,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn absent_keys_take_defaults_and_names_keep_their_order() {
        let text = r#"{"classes":[{"name":"read","aimMs":200.0,"deadlineMs":400.0,"effect":"deduplicated","group":"zone",
            "dedupWindowMs":900.0}],"parties":[{"name":"courts","fraction":0.5,"allowancePerS":10.0}],"zones":["a","b"],
            "zone":1,"feedback":{"fields":["qps","queue"],"source":"piggyback"},"limits":{"keepaliveMs":10000.0},"new":[1]}"#;
        let file: SettingsFile = serde_json::from_str(text).expect("readable");
        let settings = file.settings();
        assert_eq!(settings.zone, ZoneId(1));
        assert_eq!(settings.max_attempts, Settings::default().max_attempts);
        let effect = Effect::Deduplicated { group: Group::Zone, window: Span::from_ms(900.0) };
        assert_eq!(settings.classes[0].effect, effect);
        assert_eq!(settings.report_fields, [ReportField::Rate, ReportField::Queue]);
        assert_eq!((file.class_names(), file.tenant_names()), (vec!["read".into()], vec!["courts".into()]));
        assert_eq!((file.keepalive(), file.connect_timeout()), (Some(Span::from_ms(10_000.0)), None));
    }
}
