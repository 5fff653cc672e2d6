//! A page about schedules that were played, for people.

use crate::fleet::checker::Verdict;
use crate::fleet::evidence::{Belief, Entry, Evidence};
use crate::fleet::plan::Plan;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write;

/// Runs whose course is drawn: those that broke a rule come first.
const DRAWN_MOST: usize = 12;
const SIZE: (u32, u32) = (980, 220);

/// A run.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// What was played.
    pub plan: Plan,
    /// The judgement.
    pub verdict: Verdict,
    /// How long the first settling took, in seconds.
    pub first: f64,
    /// How long it ran, in seconds.
    pub seconds: f64,
    /// What one agent sent a second: packets.
    pub packets: f64,
    /// And bytes.
    pub bytes: f64,
    /// Processor time of an agent, in milliseconds a second; real processes only.
    pub cpu: Option<f64>,
    /// The largest resident memory, in KiB; real processes only.
    pub rss: Option<u64>,
    /// How late the lab itself was at worst, in seconds.
    pub late: f64,
    /// What was written down.
    #[serde(skip)]
    pub evidence: Evidence,
}

/// The page.
pub fn page(rows: &[Row]) -> Result<String, String> {
    let kept = rows.iter().filter(|row| row.verdict.kept()).count();
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Fleets</title><style>\
         body{{font:15px/1.4 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
         table{{border-collapse:collapse}}td,th{{padding:.2em .8em;border:1px solid #ccc;text-align:left}}\
         .broken{{color:#b00020;font-weight:bold}}svg{{max-width:100%;height:auto}}</style>\
         <h1>{kept} of {} schedules kept</h1><table><tr><th>schedule</th><th>agents</th><th>faults</th><th>verdict</th>\
         <th>settled after</th><th>stated</th><th>wrong deaths</th><th>packets a second each</th></tr>",
        rows.len()
    );
    for row in rows {
        let verdict = &row.verdict;
        let word = if verdict.kept() {
            "kept".to_string()
        } else {
            let what =
                verdict.breaches.iter().take(3).map(|b| format!("{}: {}", b.rule.name(), escape(&b.what)));
            format!("<span class=\"broken\">{}</span>", what.collect::<Vec<_>>().join("<br>"))
        };
        let after = verdict.settled_after.map_or("never".into(), |after| format!("{after:.1} s"));
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{word}</td><td>{after}</td><td>{:.1} s</td><td>{} ({:.1} s)</td><td>{:.0}</td></tr>",
            escape(&row.plan.name),
            row.plan.agents,
            row.plan.fault.len(),
            verdict.settles_within,
            verdict.wrong_deaths,
            verdict.wrong_death_seconds,
            row.packets
        );
    }
    page.push_str(
        "</table><p>Below, how many others each agent takes for there, over time; each fault as a bar.</p>",
    );
    let mut drawn: Vec<&Row> = rows.iter().collect();
    drawn.sort_by_key(|row| row.verdict.kept());
    for row in drawn.into_iter().take(DRAWN_MOST) {
        let _ = write!(page, "<h2>{}</h2>", escape(&row.plan.name));
        draw(row, &mut page).map_err(|e| format!("cannot draw: {e}"))?;
    }
    Ok(page)
}

fn draw(row: &Row, page: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let agents = row.plan.agents;
    let last = row.evidence.entries.last().map_or(1.0, |(at, _)| *at).max(1.0);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..last, 0.0..agents as f64)?;
        chart.configure_mesh().disable_mesh().x_desc("s").y_desc("there").draw()?;
        for (from, to) in faults(row, last) {
            chart
                .draw_series([Rectangle::new([(from, 0.0), (to, agents as f64)], RED.mix(0.08).filled())])?;
        }
        for observer in 0..agents {
            let colour = Palette99::pick(observer).mix(0.6);
            chart.draw_series(LineSeries::new(course(row, observer, last), colour))?;
        }
        area.present()?;
    }
    page.push_str(&svg);
    Ok(())
}

/// When faults of the network and stops were on.
fn faults(row: &Row, last: f64) -> Vec<(f64, f64)> {
    let mut open: Vec<(String, f64)> = Vec::new();
    let mut bars = Vec::new();
    for (at, entry) in &row.evidence.entries {
        match entry {
            Entry::Began(i, _) => open.push((format!("n{i}"), *at)),
            Entry::Stopped(m) | Entry::Ended(m) => open.push((format!("m{m}"), *at)),
            Entry::Over(i, _) => close(&mut open, &format!("n{i}"), *at, &mut bars),
            Entry::Continued(m) | Entry::Started(m) => close(&mut open, &format!("m{m}"), *at, &mut bars),
            _ => {}
        }
    }
    bars.extend(open.into_iter().map(|(_, from)| (from, last)));
    bars
}

fn close(open: &mut Vec<(String, f64)>, key: &str, at: f64, bars: &mut Vec<(f64, f64)>) {
    if let Some(place) = open.iter().position(|(name, _)| name == key) {
        bars.push((open.remove(place).1, at));
    }
}

/// How many others an observer takes for there, as steps.
fn course(row: &Row, observer: usize, last: f64) -> Vec<(f64, f64)> {
    let mut there = vec![false; row.plan.agents];
    let mut points = vec![(0.0, 0.0)];
    for (at, entry) in &row.evidence.entries {
        let before = there.iter().filter(|t| **t).count() as f64;
        match entry {
            Entry::Says { observer: o, member, belief, .. } if *o == observer => {
                there[*member] = *belief != Belief::Gone
            }
            Entry::Started(m) | Entry::Ended(m) if *m == observer => there.fill(false),
            _ => continue,
        }
        points.extend([(*at, before), (*at, there.iter().filter(|t| **t).count() as f64)]);
    }
    points.push((last, points.last().map_or(0.0, |p| p.1)));
    points
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
