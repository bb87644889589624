//! What makes two requests the same.

use googletest::prelude::*;
use mulberryyoke_model::Digest;

#[gtest]
fn only_method_path_customer_and_body_make_a_request() {
    let one = Digest::of("POST", "/a/b", "noor", b"body");
    expect_that!(Digest::of("POST", "/a/b", "noor", b"body"), eq(one));
    let others = [
        ("PUT", "/a/b", "noor", "body"),
        ("POST", "/a/c", "noor", "body"),
        ("POST", "/a/b", "lale", "body"),
        ("POST", "/a/b", "noor", "bodz"),
        // One part's end is not another's beginning.
        ("POST", "/a/bn", "oor", "body"),
        ("POST", "/a/b", "noorb", "ody"),
        ("POST", "/a/b", "", "noorbody"),
    ];
    for (method, path, customer, body) in others {
        expect_that!(
            Digest::of(method, path, customer, body.as_bytes()),
            not(eq(one))
        );
    }
}

#[gtest]
fn its_text_is_read_back_and_no_other_is() {
    let one = Digest::of("POST", "/a/b", "noor", b"body");
    expect_that!(Digest::parse(&one.to_string()), some(eq(one)));
    expect_that!(Digest::parse(&Digest(7).to_string()), some(eq(Digest(7))));
    for text in [
        "",
        "7",
        "zz",
        &"g".repeat(32),
        &"1".repeat(33),
        &format!("+{}", "1".repeat(31)),
    ] {
        expect_that!(Digest::parse(text), none(), "{text}");
    }
}
