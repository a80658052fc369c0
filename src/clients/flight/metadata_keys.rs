//! Keys of the gRPC metadata that describe a call. Clients and engines use the same keys.

/// Name of the request's class, as in the settings.
pub(crate) const CLASS: &str = "magpiechute-class";
/// Name of the tenant, as in the settings.
pub(crate) const TENANT: &str = "magpiechute-tenant";
/// Estimated work, in milliseconds on one CPU core.
pub(crate) const EFFORT: &str = "magpiechute-effort";
/// Estimated memory, in MB.
pub(crate) const NEED_MB: &str = "magpiechute-need-mb";
/// The reference that identifies the request to engines: 16 hex digits.
pub(crate) const REFERENCE: &str = "magpiechute-ref";
