//! Parsing of `Retry-After`.

use googletest::prelude::*;
use hyper::HeaderMap;
use hyper::header::{DATE, HeaderValue, RETRY_AFTER};
use mulberryyoke_platform::retry_after;

const NOON: &str = "Thu, 03 Dec 2026 12:00:00 GMT";
const LATER: &str = "Thu, 03 Dec 2026 12:00:07 GMT";

fn read(values: &[&'static str], date: Option<&'static str>) -> Option<u64> {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(RETRY_AFTER, HeaderValue::from_static(value));
    }
    if let Some(date) = date {
        headers.insert(DATE, HeaderValue::from_static(date));
    }
    retry_after::read(&headers)
}

#[gtest]
fn valid_forms_are_parsed_and_invalid_values_are_ignored() {
    let table: [(&[&str], Option<u64>); 16] = [
        (&["3"], Some(3_000)),
        (&[" 3 "], Some(3_000)),
        (&["0.25"], Some(250)),
        (&["0"], Some(0)),
        (&[LATER], Some(7_000)),
        (&["3", "5", "4"], Some(5_000)),
        (&["soon", "2"], Some(2_000)),
        (&["99999999999999999999999999"], Some(u64::MAX)),
        (&[], None),
        (&[""], None),
        (&["-3"], None),
        (&["3s"], None),
        (&["3, 5"], None),
        (&["1e3"], None),
        (&["inf"], None),
        (&["NaN"], None),
    ];
    for (values, expected) in table {
        expect_that!(read(values, Some(NOON)), eq(expected), "{values:?}");
    }
}

#[gtest]
fn dates_are_relative_to_the_date_header_and_past_dates_give_zero() {
    expect_that!(read(&[NOON], Some(LATER)), some(eq(0)));
    let far = read(&["Fri, 31 Dec 9999 00:00:00 GMT"], None);
    expect_that!(far, some(gt(1_000_000_000)));
}
