//! The operator's order to change the configuration, as it comes over HTTP.

use lupinrack_cluster_api::error::ErrorKind;
use lupinrack_cluster_api::operation::{ConfigurationBody, ConfigurationChange};
use lupinrack_cluster_transport::http_server::HttpRequest;
use lupinrack_control_state::check_body;

/// Reads the order in a `PUT` or `PATCH`. An order that is wrong whatever configuration is current is refused here, also by
/// a process that cannot know what is current; whether a sound one is taken is decided where it is applied.
///
/// # Errors
///
/// Where it is refused: as [`ErrorKind::Malformed`] without a single number in `If-Match` or with a body that is no text,
/// as [`ErrorKind::InvalidConfiguration`] for what the body says.
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
        spdlog::info!("an order is refused: {fault}");
        return Err(ErrorKind::InvalidConfiguration);
    }
    Ok(ConfigurationChange { if_match, body })
}
