//! Tables of figures, printed and kept.

use std::fs;
use std::path::{Path, PathBuf};

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Rectangle;
use plotters::style::{Color, RGBColor, WHITE};

use crate::fleet::ChoreError;

/// The size of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 420);
const BAR: RGBColor = RGBColor(70, 110, 160);

/// A table of figures: a name and numbers in each row.
pub(crate) struct FigureTable {
    name: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(String, Vec<f64>)>,
}

impl FigureTable {
    pub(crate) fn new(name: &'static str, columns: &[&'static str]) -> FigureTable {
        FigureTable { name, columns: columns.to_vec(), rows: Vec::new() }
    }

    pub(crate) fn push(&mut self, row: impl Into<String>, figures: Vec<f64>) {
        self.rows.push((row.into(), figures));
    }

    /// Adds the middle of several runs, and in brackets after the name their spread in the
    /// first column.
    pub(crate) fn push_runs(&mut self, row: &str, runs: &[Vec<f64>]) {
        let columns = runs.first().map_or(0, Vec::len);
        let middle = (0..columns).map(|column| {
            let mut values: Vec<f64> = runs.iter().map(|it| it[column]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        });
        let first = runs.iter().map(|it| it[0]);
        let (low, high) =
            first.fold((f64::MAX, f64::MIN), |it, value| (it.0.min(value), it.1.max(value)));
        self.push(format!("{row} [{low:.3}..{high:.3}]"), middle.collect());
    }

    /// Prints the table, and keeps it with a plot of its first column.
    pub(crate) fn finish(&self) -> Result<(), ChoreError> {
        let width = self.rows.iter().map(|it| it.0.len()).max().unwrap_or(0);
        println!("{}", self.name);
        let heads: Vec<String> = self.columns.iter().map(|it| format!("{it:>16}")).collect();
        println!("{:width$}  {}", "", heads.join(" "));
        for (row, figures) in &self.rows {
            let cells: Vec<String> = figures.iter().map(|it| format!("{it:>16.4}")).collect();
            println!("{row:width$}  {}", cells.join(" "));
        }
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/measurements");
        fs::create_dir_all(&folder)?;
        self.keep_csv(&folder)?;
        self.plot(&folder)
    }

    fn keep_csv(&self, folder: &Path) -> Result<(), ChoreError> {
        let mut text = format!("row,{}\n", self.columns.join(","));
        for (row, figures) in &self.rows {
            let cells: Vec<String> = figures.iter().map(|it| format!("{it:.4}")).collect();
            text.push_str(&format!("{row},{}\n", cells.join(",")));
        }
        Ok(fs::write(folder.join(format!("{}.csv", self.name)), text)?)
    }

    fn plot(&self, folder: &Path) -> Result<(), ChoreError> {
        let path = folder.join(format!("{}.svg", self.name));
        let area = SVGBackend::new(&path, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let values: Vec<f64> = self.rows.iter().map(|it| it.1[0]).collect();
        let top = values.iter().copied().fold(0.0, f64::max).max(1e-9) * 1.1;
        let count = values.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..count, 0.0..top)?;
        let label = |at: &f64| {
            let row = self.rows.get(at.floor() as usize).map(|it| it.0.as_str());
            let row = row.filter(|_| (at.fract() - 0.5).abs() < 0.01).unwrap_or("");
            row.split(" [").next().unwrap_or("").to_string()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(2 * values.len() + 1)
            .x_label_formatter(&label)
            .y_desc(self.columns[0])
            .draw()?;
        chart.draw_series(values.iter().enumerate().map(|(index, value)| {
            let left = index as f64;
            Rectangle::new([(left + 0.15, 0.0), (left + 0.85, *value)], BAR.filled())
        }))?;
        area.present()?;
        Ok(())
    }
}

/// The value below which `share` of the values lie.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(index).copied().unwrap_or(0.0)
}
