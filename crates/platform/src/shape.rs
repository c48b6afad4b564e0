//! Whether a new configuration says all that the one in use says. A file that was cut short or written by hand may
//! still be JSON; what is missing in it would silently become a default. No I/O.

use serde_json::Value;

/// Nodes as they were last known: any list of them will do, also an empty one.
const FREE: &str = "known";

/// The first key that stands in the file in use and not in the new one, or stands there as another kind of value.
pub fn missing(used: &Value, new: &Value) -> Option<String> {
    under(String::new(), used, new)
}

fn under(path: String, used: &Value, new: &Value) -> Option<String> {
    let at = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match (used, new) {
        (Value::Object(used), Value::Object(new)) => {
            used.iter().find_map(|(name, value)| match new.get(name) {
                None => Some(at(name)),
                Some(_) if path.is_empty() && name == FREE => None,
                Some(other) => under(at(name), value, other),
            })
        }
        // Items come and go; what all of them say, each new one must say.
        (Value::Array(used), Value::Array(new)) => {
            let first = used.first()?;
            if new.is_empty() {
                return Some(path);
            }
            let common = used.iter().skip(1).fold(first.clone(), common);
            let mut items = new.iter().enumerate();
            items.find_map(|(i, item)| under(format!("{path}.{i}"), &common, item))
        }
        _ => (std::mem::discriminant(used) != std::mem::discriminant(new)).then_some(path),
    }
}

/// What two items both say.
fn common(a: Value, b: &Value) -> Value {
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
    fn what_the_file_in_use_says_must_be_said_again() {
        let used = json!({"discovery": "a", "known": {"instances": [{"cell": 1}]}, "peers": ["x", "y"],
            "settings": {"tries": 3, "classes": [{"name": "a", "deadline": 5, "window": 1}, {"name": "b", "deadline": 5}]}});
        let with = |change: &dyn Fn(&mut Value)| {
            let mut new = used.clone();
            change(&mut new);
            missing(&used, &new)
        };
        assert_eq!(with(&|_| {}), None);
        assert_eq!(
            with(&|v| v["known"] = json!({})),
            None,
            "any nodes, or none"
        );
        assert_eq!(with(&|v| v["more"] = json!(1)), None);
        assert_eq!(with(&|v| v["peers"] = json!(["z"])), None);
        let class = |c: Value| with(&move |v| v["settings"]["classes"][1] = c.clone());
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
            with(&|v| v["settings"]["tries"] = Value::Null).as_deref(),
            Some("settings.tries")
        );
        assert_eq!(
            with(&|v| v["settings"]["classes"] = json!([])).as_deref(),
            Some("settings.classes")
        );
        for key in ["discovery", "known", "peers", "settings"] {
            let gone = with(&|v| drop(v.as_object_mut().map(|o| o.remove(key))));
            assert_eq!(gone.as_deref(), Some(key));
        }
    }
}
