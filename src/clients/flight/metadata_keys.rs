//! Keys of the gRPC metadata that describe a call. They are the same towards clients and engines.

/// The request's class, by its name in the settings.
pub(crate) const CLASS: &str = "magpiechute-class";
/// The tenant, by its name in the settings.
pub(crate) const TENANT: &str = "magpiechute-tenant";
/// Estimate of the work, in milliseconds on one core.
pub(crate) const EFFORT: &str = "magpiechute-effort";
/// Estimate of the memory, in MB.
pub(crate) const NEED_MB: &str = "magpiechute-need-mb";
/// The reference by which engines know the request: 16 hex digits.
pub(crate) const REFERENCE: &str = "magpiechute-ref";
