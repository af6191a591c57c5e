//! Result tables, printed and written to docs/measurements.

use std::fs;
use std::path::{Path, PathBuf};

use plotters::backend::SVGBackend;
use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::element::Rectangle;
use plotters::style::{Color, RGBColor, WHITE};

use crate::fleet::ChoreError;

/// Width and height of a chart, in pixels.
const CHART_SIZE_PX: (u32, u32) = (900, 420);
const BAR_COLOR: RGBColor = RGBColor(70, 110, 160);

/// The results of a measurement: each row has a label and one value for each column.
pub(crate) struct ResultTable {
    /// The heading of the printed table, and the name of its files.
    name: &'static str,
    columns: Vec<&'static str>,
    rows: Vec<(String, Vec<f64>)>,
}

impl ResultTable {
    /// An empty table; `columns` names the values of each row.
    pub(crate) fn new(name: &'static str, columns: &[&'static str]) -> ResultTable {
        ResultTable { name, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Adds a row; the first of its values is the one that the chart shows.
    pub(crate) fn push_row(&mut self, row: impl Into<String>, values: Vec<f64>) {
        self.rows.push((row.into(), values));
    }

    /// Adds a row with the median of each column over several runs; of an even number, the upper
    /// one of the middle two. The label gets the range of the first column in brackets.
    pub(crate) fn push_median(&mut self, row: &str, runs: &[Vec<f64>]) {
        let columns = runs.first().map_or(0, Vec::len);
        let medians = (0..columns).map(|column| {
            let mut values: Vec<f64> = runs.iter().map(|it| it[column]).collect();
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        });
        let first_column = runs.iter().map(|it| it[0]);
        let (low, high) =
            first_column.fold((f64::MAX, f64::MIN), |it, value| (it.0.min(value), it.1.max(value)));
        self.push_row(format!("{row} [{low:.3}..{high:.3}]"), medians.collect());
    }

    /// Prints the table and writes it as `<name>.csv`, with a bar chart of its first column as
    /// `<name>.svg`. Earlier files are overwritten.
    pub(crate) fn print_and_save(&self) -> Result<(), ChoreError> {
        let width = self.rows.iter().map(|it| it.0.len()).max().unwrap_or(0);
        println!("{}", self.name);
        let headings: Vec<String> = self.columns.iter().map(|it| format!("{it:>16}")).collect();
        println!("{:width$}  {}", "", headings.join(" "));
        for (row, values) in &self.rows {
            let cells: Vec<String> = values.iter().map(|it| format!("{it:>16.4}")).collect();
            println!("{row:width$}  {}", cells.join(" "));
        }
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/measurements");
        fs::create_dir_all(&folder)?;
        self.write_csv(&folder)?;
        self.write_chart(&folder)
    }

    fn write_csv(&self, folder: &Path) -> Result<(), ChoreError> {
        let mut text = format!("row,{}\n", self.columns.join(","));
        for (row, values) in &self.rows {
            let cells: Vec<String> = values.iter().map(|it| format!("{it:.4}")).collect();
            text.push_str(&format!("{row},{}\n", cells.join(",")));
        }
        Ok(fs::write(folder.join(format!("{}.csv", self.name)), text)?)
    }

    /// Draws a bar for each row; the bracketed range in a label is left out.
    fn write_chart(&self, folder: &Path) -> Result<(), ChoreError> {
        let path = folder.join(format!("{}.svg", self.name));
        let area = SVGBackend::new(&path, CHART_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let values: Vec<f64> = self.rows.iter().map(|it| it.1[0]).collect();
        let max_value = values.iter().copied().fold(0.0, f64::max).max(1e-9) * 1.1;
        let count = values.len().max(1) as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..count, 0.0..max_value)?;
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
            Rectangle::new([(left + 0.15, 0.0), (left + 0.85, *value)], BAR_COLOR.filled())
        }))?;
        area.present()?;
        Ok(())
    }
}

/// The value below which the fraction `share` of the values lies, or 0 if there are none. Sorts
/// `values`.
pub(crate) fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = ((values.len() as f64 * share) as usize).min(values.len().saturating_sub(1));
    values.get(index).copied().unwrap_or(0.0)
}
