//! One self-contained page about a run: the verdict, and pictures of what people would rather look at than read.

use crate::judge::checker::Rule;
use crate::judge::service::QUANTILES;
use crate::show::live::verdict;
use crate::world::run::{Frame, Outcome};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::fmt::Write as _;

const SIZE: (u32, u32) = (980, 280);
/// Lines that are told apart by a name beside the picture.
const NAMED_MOST: usize = 14;
/// Breaches that the page lists.
const BREACHES_MOST: usize = 40;

type Failed = Box<dyn std::error::Error>;
type Line = (String, Vec<(f64, f64)>);

/// The page.
pub fn page(outcome: &Outcome) -> Result<String, String> {
    draw(outcome).map_err(|e| format!("cannot draw the report: {e}"))
}

fn draw(outcome: &Outcome) -> Result<String, Failed> {
    let world = &outcome.world;
    let mut page = String::new();
    write!(
        page,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>dilljunction: {0}</title><style>\
         body{{font:15px/1.4 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
         pre{{background:#f4f4f4;padding:1em;overflow-x:auto}}table{{border-collapse:collapse}}\
         td,th{{padding:.2em .8em;border:1px solid #ccc;text-align:left}}.kept{{color:#176b2c}}.broken{{color:#b00020;font-weight:bold}}\
         svg{{max-width:100%;height:auto}}</style><h1>{0}</h1><p>{1}: {2} servers, {3} agents, {4} requests a second for {5} s, seed {6}.</p>",
        escape(&world.name), escape(&world.about), world.servers().len(), world.agents, world.rate, world.seconds, world.seed
    )?;
    page.push_str("<h2>The rules</h2><table><tr><th>rule</th><th>verdict</th></tr>");
    for rule in Rule::ALL {
        let count = outcome.verdict.count(rule);
        let (class, word) = if count == 0 {
            ("kept", "kept".to_string())
        } else {
            ("broken", format!("broken {count} times"))
        };
        write!(page, "<tr><td>{}</td><td class=\"{class}\">{word}</td></tr>", rule.name())?;
    }
    page.push_str("</table>");
    if !outcome.verdict.breaches.is_empty() {
        page.push_str(
            "<h2>What broke them</h2><table><tr><th>rule</th><th>what</th><th>at</th><th>evidence</th></tr>",
        );
        for breach in outcome.verdict.breaches.iter().take(BREACHES_MOST) {
            let evidence = escape(&breach.evidence);
            write!(
                page,
                "<tr><td>{}</td><td>{}</td><td>{:.3} s</td><td>{evidence}</td></tr>",
                breach.rule.name(),
                escape(&breach.subject),
                breach.at
            )?;
        }
        page.push_str("</table>");
    }
    if outcome.late {
        page.push_str(
            "<p class=\"broken\">The lab itself ran late; the pictures below say nothing of the agents.</p>",
        );
    }
    write!(page, "<pre>{}</pre>", escape(verdict(outcome).trim()))?;
    if !outcome.late {
        page.push_str("<h2>Worth answered in time, by second</h2><p>Of what was asked for; the shaded times are those of faults.</p>");
        page.push_str(&worth(outcome)?);
        page.push_str("<h2>Latency from the moment a request was due</h2><p>First tries, from the median to 99.99 of 100; a request that never came back counts as long as its client waited.</p>");
        page.push_str(&latency(outcome)?);
    }
    let names: Vec<String> = world.servers().into_iter().map(|s| s.0).collect();
    let of_servers = |figure: &dyn Fn(&Frame, usize) -> f64| -> Vec<Line> {
        let line = |(n, name): (usize, &String)| {
            (name.clone(), outcome.frames.iter().map(|f| (f.at, figure(f, n))).collect())
        };
        names.iter().enumerate().map(line).collect()
    };
    let of_agents = |figure: &dyn Fn(&crate::world::agents::Usage) -> f64| -> Vec<Line> {
        let line = |n: usize| {
            let points =
                outcome.frames.iter().filter_map(|f| Some((f.at, figure(f.agents.get(n)?.as_ref()?))));
            (format!("agent-{n}"), points.collect())
        };
        (0..world.agents).map(line).collect()
    };
    page.push_str("<h2>Requests at each server, running and waiting</h2>");
    let flight = of_servers(&|f, n| (f.servers[n].running + f.servers[n].waiting) as f64);
    page.push_str(&lines(outcome, "requests", &flight)?);
    page.push_str("<h2>Connections at each server</h2>");
    page.push_str(&lines(outcome, "connections", &of_servers(&|f, n| f.servers[n].connections as f64))?);
    page.push_str("<h2>Resident memory of each agent</h2>");
    page.push_str(&lines(outcome, "MiB", &of_agents(&|u| u.rss_kib as f64 / 1024.0))?);
    page.push_str("<h2>CPU of each agent</h2>");
    let cpu: Vec<Line> =
        of_agents(&|u| u.cpu_ms as f64).into_iter().map(|(name, p)| (name, rate(&p))).collect();
    page.push_str(&lines(outcome, "% of a core", &cpu)?);
    page.push_str("</html>\n");
    Ok(page)
}

/// The growth of a sum, a second; a sum that falls began anew.
fn rate(points: &[(f64, f64)]) -> Vec<(f64, f64)> {
    let step = |pair: &[(f64, f64)]| {
        let seconds = (pair[1].0 - pair[0].0).max(1e-3);
        (pair[1].0, (pair[1].1 - pair[0].1).max(0.0) / seconds / 10.0)
    };
    points.windows(2).map(step).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn with_area(
    paint: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), Failed>,
) -> Result<String, Failed> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        paint(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// When faults hold, in seconds.
fn spans(outcome: &Outcome) -> Vec<(f64, f64)> {
    let end = outcome.world.seconds;
    let span = |f: &crate::world::Fault| (f.at, f.lasts.map_or(f.at + 0.3, |lasts| f.at + lasts).min(end));
    outcome.world.fault.iter().map(span).collect()
}

fn lines(outcome: &Outcome, unit: &str, lines: &[Line]) -> Result<String, Failed> {
    let most = lines.iter().flat_map(|l| &l.1).map(|p| p.1).fold(0.0, f64::max).max(1.0) * 1.1;
    series(outcome, unit, most, lines)
}

fn worth(outcome: &Outcome) -> Result<String, Failed> {
    let seconds = outcome.service.seconds.iter().enumerate();
    let points = seconds.filter(|(_, w)| w.asked > 0.0).map(|(n, w)| (n as f64 + 0.5, w.share())).collect();
    series(outcome, "share", 1.05, &[("worth".to_string(), points)])
}

fn series(outcome: &Outcome, unit: &str, most: f64, lines: &[Line]) -> Result<String, Failed> {
    let end = outcome.frames.last().map_or(outcome.world.seconds, |f| f.at.max(outcome.world.seconds));
    with_area(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, 0.0..most)?;
        chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE.mix(0.0)).draw()?;
        let shade = RGBColor(200, 60, 40).mix(0.10).filled();
        chart.draw_series(
            spans(outcome).into_iter().map(|(from, to)| Rectangle::new([(from, 0.0), (to, most)], shade)),
        )?;
        if lines.len() == 1 {
            // The one picture with room for them: what each shaded time is.
            let style = ("sans-serif", 12).into_font().color(&RGBColor(120, 30, 20));
            let text = |(n, f): (usize, &crate::world::Fault)| {
                Text::new(f.label(), (f.at, most * (0.06 + 0.055 * (n % 12) as f64)), style.clone())
            };
            chart.draw_series(outcome.world.fault.iter().enumerate().map(text))?;
        }
        for (n, (name, points)) in lines.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let drawn = chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(1)))?;
            if lines.len() > 1 && lines.len() <= NAMED_MOST {
                drawn
                    .label(name.clone())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
            }
        }
        if lines.len() > 1 && lines.len() <= NAMED_MOST {
            chart
                .configure_series_labels()
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.2))
                .draw()?;
        }
        Ok(())
    })
}

fn latency(outcome: &Outcome) -> Result<String, Failed> {
    let all = &outcome.service.latencies;
    let most = all.iter().flat_map(|l| &l.1).copied().fold(1.0, f64::max) * 1.1;
    // Nines lie at even steps: 50, 90, 99, 99.9 and 99.99 of 100.
    let place = |q: f64| -(1.0 - q).log10();
    with_area(|area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .margin_right(24)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..4.0, 0.0..most)?;
        let label = |x: &f64| format!("{:.4}", 1.0 - 10f64.powf(-x)).trim_end_matches('0').to_string();
        chart
            .configure_mesh()
            .x_desc("part of all requests")
            .y_desc("ms")
            .x_label_formatter(&label)
            .draw()?;
        for (n, (name, latencies)) in all.iter().enumerate() {
            let color = Palette99::pick(n).to_rgba();
            let points: Vec<(f64, f64)> =
                QUANTILES.iter().zip(latencies).map(|(q, ms)| (place(*q), *ms)).collect();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(name.clone())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], color));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        Ok(())
    })
}
