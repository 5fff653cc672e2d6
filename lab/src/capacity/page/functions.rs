//! The functions that a template calls.

use super::{is_source, tables};
use crate::capacity::figure::{Figure, Origin};
use crate::capacity::measurements::{MeasurementError, Measurements};
use crate::capacity::number;
use crate::capacity::row::{self, Row};
use minijinja::value::{Kwargs, Rest};
use minijinja::{Environment, Error, ErrorKind, Value};
use std::collections::BTreeSet;
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};

/// The kind of every error that comes from here and not from the template language.
pub const FAULT: ErrorKind = ErrorKind::InvalidOperation;

/// Most rows of a page.
pub const ROWS_MOST: usize = 200;

/// What the functions look things up in, and what they have seen.
pub struct Model {
    measurements: Measurements,
    root: PathBuf,
    read: Mutex<BTreeSet<String>>,
    rows: Mutex<BTreeSet<String>>,
}

impl Model {
    pub fn new(measurements: Measurements, root: &Path) -> Model {
        Model { measurements, root: root.into(), read: Mutex::default(), rows: Mutex::default() }
    }

    /// Measurements of which no figure has been taken yet; a table of fits is none.
    pub fn unread(&self) -> Vec<String> {
        let read = self.read.lock().unwrap_or_else(PoisonError::into_inner);
        let names = self.measurements.iter().map(|measurement| &measurement.name);
        names.filter(|name| !read.contains(*name)).cloned().collect()
    }

    fn reads(&self, name: &str) -> &Measurements {
        self.read.lock().unwrap_or_else(PoisonError::into_inner).insert(name.into());
        &self.measurements
    }

    fn measured(&self, name: &str, key: &str, size: f64) -> Result<Value, Error> {
        let measurements = self.reads(name);
        let value = measurements.median(name, key, size).map_err(fault)?;
        let driver = measurements.get(name).map_err(fault)?.driver.clone();
        let unit = &measurements.series(name, key).map_err(fault)?.unit;
        figure(value, unit, Origin::Measured { size, driver })
    }

    fn predict(&self, name: &str, key: &str, size: f64) -> Result<Value, Error> {
        let measurements = self.reads(name);
        let curve = measurements.curve(name, key).map_err(fault)?;
        let driver = &measurements.get(name).map_err(fault)?.driver;
        let series = measurements.series(name, key).map_err(fault)?;
        figure(curve.at(size), &series.unit, Origin::fitted(curve, series, driver, size))
    }

    fn at(&self, name: &str, key: &str, size: f64) -> Result<Value, Error> {
        match self.measurements.median(name, key, size) {
            Err(MeasurementError::NoSize { .. }) => self.predict(name, key, size),
            _ => self.measured(name, key, size),
        }
    }

    /// As the lookup, but where the whole measurement is missing a figure without a number, if the template gives the reason.
    fn look_up(&self, lookup: Lookup, place: (&str, &str, f64), arguments: &Kwargs) -> Result<Value, Error> {
        let (name, key, size) = place;
        let or_not_measured: Option<String> = arguments.get("or_not_measured")?;
        let or_absent: Option<String> = arguments.get("or_absent")?;
        arguments.assert_all_used()?;
        match (or_not_measured, or_absent) {
            (Some(why), None) if !self.measurements.has(name) => missing(Origin::NotMeasured(said(&why)?)),
            (None, Some(what)) if !self.measurements.has(name) => missing(Origin::Absent(said(&what)?)),
            (Some(_), Some(_)) => Err(fault(format!("{name}: either or_not_measured or or_absent"))),
            _ => lookup(self, name, key, size),
        }
    }

    fn row(&self, name: &str, arguments: &Kwargs) -> Result<Value, Error> {
        let row = Row {
            name: name.into(),
            role: arguments.get("role")?,
            need: figure_of(&arguments.get::<Value>("need")?, name)?,
            have: figure_of(&arguments.get::<Value>("have")?, name)?,
            mechanism: self.sources(&arguments.get::<Vec<String>>("by")?)?,
        };
        arguments.assert_all_used()?;
        let row = row.check().map_err(fault)?;
        let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        if rows.len() >= ROWS_MOST {
            return Err(fault(format!("more than {ROWS_MOST} rows")));
        }
        if !rows.insert(row.name.clone()) {
            return Err(fault(format!("row `{name}` stands twice")));
        }
        Ok(Value::from_object(row))
    }

    fn sources(&self, files: &[String]) -> Result<String, Error> {
        let sources: Result<Vec<String>, Error> = files.iter().map(|file| self.source(file)).collect();
        Ok(sources?.join(", "))
    }

    fn source(&self, file: &str) -> Result<String, Error> {
        if !is_source(&self.root, file) {
            return Err(fault(format!("{file}: no such file in the repository")));
        }
        Ok(format!("`{file}`"))
    }

    fn fit_table(&self, name: &str) -> Result<String, Error> {
        tables::fits(&self.measurements, name).map_err(fault)
    }

    fn provenance(&self) -> String {
        tables::provenance(&self.measurements, &self.unread())
    }
}

/// How a figure is found by measurement, series and size.
type Lookup = fn(&Model, &str, &str, f64) -> Result<Value, Error>;

/// Makes all functions known to templates.
pub fn install(environment: &mut Environment<'_>, model: &Arc<Model>) {
    let lookups: [(&'static str, Lookup); 3] =
        [("at", Model::at), ("measured", Model::measured), ("predict", Model::predict)];
    for (name, lookup) in lookups {
        let the = model.clone();
        environment.add_function(name, move |name: &str, key: &str, size: f64, arguments: Kwargs| {
            the.look_up(lookup, (name, key, size), &arguments)
        });
    }
    let the = model.clone();
    environment.add_function("row", move |name: &str, arguments: Kwargs| the.row(name, &arguments));
    let the = model.clone();
    environment.add_function("source", move |file: &str| the.source(file));
    let the = model.clone();
    environment.add_function("exists", move |file: &str| is_source(&the.root, file));
    let the = model.clone();
    environment.add_function("fit_table", move |name: &str| the.fit_table(name));
    let the = model.clone();
    environment.add_function("provenance", move || the.provenance());
    install_plain(environment);
}

/// Functions that look nothing up.
fn install_plain(environment: &mut Environment<'_>) {
    environment.add_function("allowed", |value: f64, unit: &str| figure(value, unit, Origin::Target));
    environment.add_function("worked_out", |value: f64, unit: &str, how: &str| {
        figure(value, unit, Origin::worked_out(&said(how)?, std::iter::empty()))
    });
    environment.add_function("reasoned", |value: f64, unit: &str, how: &str| {
        figure(value, unit, Origin::Reasoned(said(how)?))
    });
    environment.add_function("scaled", |from: Value, factor: f64, unit: &str, how: &str| {
        derived(&[from], unit, how, |values| values[0] * factor)
    });
    environment.add_function("power", |from: Value, exponent: f64, unit: &str, how: &str| {
        derived(&[from], unit, how, |values| values[0].powf(exponent))
    });
    environment.add_function("total", |from: Vec<Value>, unit: &str, how: &str| {
        same_unit(&from, unit)?;
        derived(&from, unit, how, |values| values.iter().sum())
    });
    environment.add_function("absent", |what: &str| missing(Origin::Absent(said(what)?)));
    environment.add_function("not_measured", |why: &str| missing(Origin::NotMeasured(said(why)?)));
    environment.add_function("headroom", |need: Value, have: Value| {
        let (need, have) = (figure_of(&need, "headroom")?, figure_of(&have, "headroom")?);
        Ok::<String, Error>(row::headroom(&need, &have).text())
    });
    environment.add_function("table", table);
    environment.add_function("ranked", |rows: Rest<Value>| {
        let rows = rows_of(rows.first())?;
        Ok::<String, Error>(row::table(&row::ranked(&rows.iter().map(Arc::as_ref).collect::<Vec<_>>())))
    });
    environment.add_filter("figure", |value: f64| text(number::figure(value), value));
    environment.add_filter("count", |value: f64| text(number::count(value), value));
}

fn table(rows: Value, role: &str) -> Result<String, Error> {
    let rows = rows_of(Some(&rows))?;
    let rows: Vec<&Row> = rows.iter().map(Arc::as_ref).filter(|row| row.role == role).collect();
    if rows.is_empty() {
        return Err(fault(format!("no row has the role `{role}`")));
    }
    Ok(row::table(&rows))
}

fn rows_of(rows: Option<&Value>) -> Result<Vec<Arc<Row>>, Error> {
    let rows = rows.ok_or_else(|| fault("the rows are missing"))?;
    let row =
        |value: Value| value.downcast_object::<Row>().ok_or_else(|| fault(format!("{value} is no row")));
    rows.try_iter()?.map(row).collect()
}

fn figure(value: f64, unit: &str, origin: Origin) -> Result<Value, Error> {
    Figure::new(value, unit, origin).map(Value::from_object).map_err(fault)
}

/// A figure worked out from others; the first of them that has no number takes its place.
fn derived(from: &[Value], unit: &str, how: &str, value: impl Fn(&[f64]) -> f64) -> Result<Value, Error> {
    let (mut values, mut origins) = (Vec::new(), Vec::new());
    for part in from {
        let part = figure_of(part, how)?;
        match part.value {
            Some(value) => values.push(value),
            None => return missing(part.origin),
        }
        origins.push(part.origin);
    }
    figure(value(&values), unit, Origin::worked_out(&said(how)?, origins.iter()))
}

fn same_unit(figures: &[Value], unit: &str) -> Result<(), Error> {
    for part in figures {
        let part = figure_of(part, "total")?;
        if part.value.is_some() && part.unit != unit {
            return Err(fault(format!("total: {part} is not in {unit}")));
        }
    }
    Ok(())
}

fn missing(origin: Origin) -> Result<Value, Error> {
    Ok(Value::from_object(Figure::missing(origin)))
}

fn figure_of(value: &Value, place: &str) -> Result<Figure, Error> {
    let figure = value.downcast_object_ref::<Figure>();
    figure
        .cloned()
        .ok_or_else(|| fault(format!("{place}: {value} is no figure; give it a unit and how it was found")))
}

/// Words that have to be there.
fn said(words: &str) -> Result<String, Error> {
    match words.trim() {
        "" => Err(fault("a figure has to say how it was found")),
        words => Ok(words.into()),
    }
}

fn text(text: Option<String>, value: f64) -> Result<String, Error> {
    text.ok_or_else(|| fault(format!("{value} is no finite number")))
}

fn fault(reason: impl Display) -> Error {
    Error::new(FAULT, reason.to_string())
}
