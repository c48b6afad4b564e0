//! Checks that a new configuration has all keys of the current one. A file that was truncated or edited by hand may still be
//! valid JSON, and a missing key would silently get its default. No I/O.

use serde_json::Value;

/// The key of the node list last known. Its value is not compared: any list is valid, even an empty one.
const UNCHECKED_KEY: &str = "known";

/// The first key of the current file that the new one lacks, or has with a value of another type.
pub fn first_missing(current: &Value, new: &Value) -> Option<String> {
    first_missing_under(String::new(), current, new)
}

fn first_missing_under(path: String, current: &Value, new: &Value) -> Option<String> {
    let child_path = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match (current, new) {
        (Value::Object(current), Value::Object(new)) => {
            current
                .iter()
                .find_map(|(name, value)| match new.get(name) {
                    None => Some(child_path(name)),
                    Some(_) if path.is_empty() && name == UNCHECKED_KEY => None,
                    Some(other) => first_missing_under(child_path(name), value, other),
                })
        }
        // Items may be added and removed. The keys that all current items have, each new item must have.
        (Value::Array(current), Value::Array(new)) => {
            let first = current.first()?;
            if new.is_empty() {
                return Some(path);
            }
            let common = current.iter().skip(1).fold(first.clone(), common_keys);
            let mut items = new.iter().enumerate();
            items.find_map(|(i, item)| first_missing_under(format!("{path}.{i}"), &common, item))
        }
        _ => (std::mem::discriminant(current) != std::mem::discriminant(new)).then_some(path),
    }
}

/// The keys that two items have in common, with the values of the first.
fn common_keys(a: Value, b: &Value) -> Value {
    match (a, b) {
        (Value::Object(mut fields), Value::Object(b)) => {
            fields.retain(|name, _| b.contains_key(name));
            Value::Object(fields)
        }
        (a, _) => a,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    #[test]
    fn a_new_file_must_have_all_keys_of_the_current_one() {
        let current = json!({"discovery": "a", "known": {"instances": [{"cell": 1}]}, "peers": ["x", "y"],
            "settings": {"tries": 3, "classes": [{"name": "a", "deadline": 5, "window": 1}, {"name": "b", "deadline": 5}]}});
        let missing_after = |change: &dyn Fn(&mut Value)| {
            let mut new = current.clone();
            change(&mut new);
            first_missing(&current, &new)
        };
        assert_eq!(missing_after(&|_| {}), None);
        assert_eq!(
            missing_after(&|v| v["known"] = json!({})),
            None,
            "any node list is valid"
        );
        assert_eq!(missing_after(&|v| v["more"] = json!(1)), None);
        assert_eq!(missing_after(&|v| v["peers"] = json!(["z"])), None);
        let class = |c: Value| missing_after(&move |v| v["settings"]["classes"][1] = c.clone());
        assert_eq!(class(json!({"name": "c", "deadline": 9.5})), None);
        assert_eq!(
            class(json!({"name": "c"})).as_deref(),
            Some("settings.classes.1.deadline")
        );
        assert_eq!(
            class(json!({"name": "c", "deadline": "9"})).as_deref(),
            Some("settings.classes.1.deadline")
        );
        assert_eq!(
            missing_after(&|v| v["settings"]["tries"] = Value::Null).as_deref(),
            Some("settings.tries")
        );
        assert_eq!(
            missing_after(&|v| v["settings"]["classes"] = json!([])).as_deref(),
            Some("settings.classes")
        );
        for key in ["discovery", "known", "peers", "settings"] {
            let missing = missing_after(&|v| drop(v.as_object_mut().map(|o| o.remove(key))));
            assert_eq!(missing.as_deref(), Some(key));
        }
    }
}
