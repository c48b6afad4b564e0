//! An operator's HTTP request to change the configuration.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_transport::http_server::HttpRequest;
use lupinrack_control_state::check_body;

/// Parses the change in a `PUT` or `PATCH`. A change that is invalid under every current configuration is refused here,
/// even by a process that does not know the current one. Whether a valid change is accepted is decided when it is
/// applied.
///
/// # Errors
///
/// [`ErrorKind::Malformed`] if `If-Match` is not a single number or the body is not UTF-8,
/// [`ErrorKind::InvalidConfiguration`] if the content of the body is invalid, and [`ErrorKind::NotServed`] for other
/// methods.
pub fn parse_configuration_request(call: &HttpRequest) -> Result<ConfigurationChange, ErrorKind> {
    let if_match = call.if_match.version().ok_or(ErrorKind::Malformed)?;
    let text = std::str::from_utf8(&call.body)
        .map_err(|_| ErrorKind::Malformed)?
        .to_owned();
    let body = match call.method.as_str() {
        "PUT" => ConfigurationBody::Replacement(text),
        "PATCH" => ConfigurationBody::Patch(text),
        _ => return Err(ErrorKind::NotServed),
    };
    if let Err(fault) = check_body(&body) {
        spdlog::info!("configuration change refused: {fault}");
        return Err(ErrorKind::InvalidConfiguration);
    }
    Ok(ConfigurationChange { if_match, body })
}
