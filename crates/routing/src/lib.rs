//! Choice of endpoints, limits, admission, retry budgets and outlier ejection.
