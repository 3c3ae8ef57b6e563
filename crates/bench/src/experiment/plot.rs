//! Draws mean attainment and cost by scenario as one SVG.

use std::path::Path;

use eyre::eyre;
use plotters::{
    coord::Shift,
    prelude::{
        BLACK, ChartBuilder, Color, DrawingArea, IntoDrawingArea, IntoFont, Palette, Palette99,
        Rectangle, SVGBackend, SeriesLabelPosition, WHITE,
    },
};

use super::summary::Summary;

/// Width of the image in pixels.
const WIDTH: u32 = 1_400;
/// Height of one chart in pixels.
const HEIGHT: u32 = 380;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A bar chart; `values` holds one row for each scenario, one value for each system.
struct Chart<'a> {
    title: String,
    unit: &'a str,
    scenarios: &'a [String],
    systems: &'a [String],
    values: Vec<Vec<f64>>,
}

/// Draws an attainment and a cost chart for each deployment into the file at `path`.
pub(crate) fn draw(summaries: &[Summary], path: &Path) -> eyre::Result<()> {
    let deployments = names(summaries, |s| &s.deployment);
    let scenarios = names(summaries, |s| &s.scenario);
    let systems = names(summaries, |s| &s.system);
    let charts = deployments.len() * 2;
    let size = (WIDTH, HEIGHT * charts.max(1) as u32);
    let root = SVGBackend::new(path, size).into_drawing_area();
    root.fill(&WHITE).map_err(|e| eyre!("draw: {e}"))?;
    let areas = root.split_evenly((charts.max(1), 1));
    for (i, deployment) in deployments.iter().enumerate() {
        let values = |of: fn(&Summary) -> f64| -> Vec<Vec<f64>> {
            let value = |scenario: &String, system: &String| {
                let is_it = |s: &&Summary| {
                    s.deployment == *deployment && s.scenario == *scenario && s.system == *system
                };
                summaries.iter().find(is_it).map_or(0.0, of)
            };
            let of_scenario = |scenario| {
                systems
                    .iter()
                    .map(|system| value(scenario, system))
                    .collect()
            };
            scenarios.iter().map(of_scenario).collect()
        };
        let attainment = Chart {
            title: format!("{deployment}: requests completed within their deadline"),
            unit: "%",
            scenarios: &scenarios,
            systems: &systems,
            values: values(|s| s.attainment.mean * 100.0),
        };
        let cost = Chart {
            title: format!("{deployment}: endpoint time for each request in time"),
            unit: "ms",
            scenarios: &scenarios,
            systems: &systems,
            values: values(|s| s.cost_ms.mean),
        };
        attainment.draw(&areas[i * 2]).map_err(|e| eyre!("{e}"))?;
        cost.draw(&areas[i * 2 + 1]).map_err(|e| eyre!("{e}"))?;
    }
    root.present().map_err(|e| eyre!("write the chart: {e}"))
}

fn names(summaries: &[Summary], of: fn(&Summary) -> &String) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for summary in summaries {
        if !names.contains(of(summary)) {
            names.push(of(summary).clone());
        }
    }
    names
}

impl Chart<'_> {
    fn draw(&self, area: &Area<'_>) -> Result<(), Box<dyn std::error::Error>> {
        let highest = self.values.iter().flatten().copied().fold(1.0, f64::max) * 1.1;
        let right = self.scenarios.len() as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(&self.title, ("sans-serif", 18).into_font())
            .margin(10)
            .x_label_area_size(40)
            .y_label_area_size(60)
            .build_cartesian_2d(0.0..right, 0.0..highest)?;
        let label = |x: &f64| self.label(*x);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(self.scenarios.len() * 2 + 1)
            .x_label_formatter(&label)
            .y_desc(self.unit)
            .draw()?;
        let width = 0.8 / self.systems.len().max(1) as f64;
        for (s, system) in self.systems.iter().enumerate() {
            let style = Palette99::pick(s).filled();
            let bar = |(n, values): (usize, &Vec<f64>)| {
                let left = n as f64 + 0.1 + width * s as f64;
                Rectangle::new([(left, 0.0), (left + width, values[s])], style)
            };
            let bars = self.values.iter().enumerate().map(bar);
            let legend = move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], style);
            chart.draw_series(bars)?.label(system).legend(legend);
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        Ok(())
    }

    /// Returns the scenario's name at the middle of its section of the x axis, else an empty string.
    fn label(&self, x: f64) -> String {
        let is_middle = (x.fract() - 0.5).abs() < 0.01;
        let name = self.scenarios.get(x as usize).filter(|_| is_middle);
        name.cloned().unwrap_or_default()
    }
}
