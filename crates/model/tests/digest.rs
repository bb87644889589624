//! Request digests.

use googletest::prelude::*;
use mulberryyoke_model::Digest;

#[gtest]
fn digest_depends_on_method_path_customer_and_body() {
    let digest = Digest::of("POST", "/a/b", "noor", b"body");
    expect_that!(Digest::of("POST", "/a/b", "noor", b"body"), eq(digest));
    let others = [
        ("PUT", "/a/b", "noor", "body"),
        ("POST", "/a/c", "noor", "body"),
        ("POST", "/a/b", "lale", "body"),
        ("POST", "/a/b", "noor", "bodz"),
        // Guards against ambiguous boundaries between parts.
        ("POST", "/a/bn", "oor", "body"),
        ("POST", "/a/b", "noorb", "ody"),
        ("POST", "/a/b", "", "noorbody"),
    ];
    for (method, path, customer, body) in others {
        expect_that!(
            Digest::of(method, path, customer, body.as_bytes()),
            not(eq(digest))
        );
    }
}

#[gtest]
fn only_the_displayed_form_is_parsed() {
    let digest = Digest::of("POST", "/a/b", "noor", b"body");
    expect_that!(Digest::parse(&digest.to_string()), some(eq(digest)));
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
