//! Random sessions of one sidecar, checked against a model.

mod model;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use model::{CUSTOMERS, LINKS, Model, Op};

fn op() -> impl Strategy<Value = Op> {
    let key = || prop_oneof![3 => Just(None), 1 => (0..6_u64).prop_map(Some)];
    prop_oneof![
        2 => (0..400_u16).prop_map(Op::Wait),
        3 => (0..LINKS, 0..CUSTOMERS, prop::array::uniform3(0..3_u16))
            .prop_map(|(link, customer, waiting)| Op::Declare { link, customer, waiting }),
        8 => (0..LINKS, 0..CUSTOMERS, key(), prop::bool::weighted(0.1))
            .prop_map(|(link, customer, key, repeat)| Op::Send { link, customer, key, repeat }),
        1 => (0..LINKS).prop_map(|link| Op::Decline { link }),
        1 => (0..LINKS).prop_map(|link| Op::Reconnect { link }),
        4 => (any::<usize>(), any::<u8>()).prop_map(|(index, tokens)| Op::Meter { index, tokens }),
        6 => (any::<usize>(), 0..4_u8).prop_map(|(index, how)| Op::End { index, how }),
        2 => (0..LINKS, 0..4_u64, key())
            .prop_map(|(link, ahead, key)| Op::Withdraw { link, ahead, key }),
        1 => any::<bool>().prop_map(Op::Down),
    ]
}

#[test]
fn random_sessions_match_the_model() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let sessions = prop::collection::vec(op(), 1..1_500);
    let result = runner.run(&sessions, |ops| {
        let mut model = Model::new();
        for op in &ops {
            model.apply(op);
        }
        Ok(())
    });
    result.expect("every session matches the model");
}
