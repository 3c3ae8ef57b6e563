use tokio::time::Instant;

use super::{LatencyFit, LatencyModel};

const INITIAL: LatencyModel = LatencyModel {
    base_ms: 50.0,
    slope_ms: 0.02,
};

#[test]
fn the_fit_recovers_a_linear_model() {
    let mut fit = LatencyFit::new(INITIAL);
    assert_eq!(fit.model(), INITIAL);
    let now = Instant::now();
    for n in 0..20_u32 {
        let amount = f64::from(n * 500);
        fit.observe(amount, 80.0 + amount * 0.013, now);
    }
    let model = fit.model();
    assert!((model.base_ms - 80.0).abs() < 0.1, "{model:?}");
    assert!((model.slope_ms - 0.013).abs() < 1e-4, "{model:?}");
}
