//! Plots engine loads as an SVG file.

use std::{collections::BTreeSet, path::Path};

use eyre::{Result, eyre};
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, RGBColor, SVGBackend, WHITE,
};

use crate::sampler::LoadSample;

const SIZE_PX: (u32, u32) = (1_000, 500);
const MEAN_COLOR: RGBColor = RGBColor(0, 0, 0);

/// Draws the load of each engine, and the mean over all engines, against time.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_loads(samples: &[LoadSample], path: &Path) -> Result<()> {
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|err| eyre!("{err}"))?;
    let end = samples.last().map_or(1.0, |it| it.elapsed.as_secs_f64());
    let max_load = samples.iter().flat_map(|it| it.loads.values()).max().copied().unwrap_or(1);
    let mut chart = ChartBuilder::on(&area)
        .margin(20)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..f64::from(max_load) + 1.0)
        .map_err(|err| eyre!("{err}"))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("requests per engine")
        .draw()
        .map_err(|err| eyre!("{err}"))?;
    let engines: BTreeSet<&String> = samples.iter().flat_map(|it| it.loads.keys()).collect();
    for (index, engine) in engines.into_iter().enumerate() {
        let points = samples.iter().filter_map(|it| {
            let load = it.loads.get(engine)?;
            Some((it.elapsed.as_secs_f64(), f64::from(*load)))
        });
        let line = LineSeries::new(points, &Palette99::pick(index));
        chart.draw_series(line).map_err(|err| eyre!("{err}"))?;
    }
    let means = samples.iter().map(|it| {
        let total: u32 = it.loads.values().sum();
        (it.elapsed.as_secs_f64(), f64::from(total) / it.loads.len().max(1) as f64)
    });
    chart.draw_series(LineSeries::new(means, &MEAN_COLOR)).map_err(|err| eyre!("{err}"))?;
    area.present().map_err(|err| eyre!("{err}"))
}
