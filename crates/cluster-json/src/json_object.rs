//! Structs that are deserialized only from JSON objects.
//!
//! Derived implementations of `Deserialize` also accept arrays of values, which requests must not contain.

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde::{Serialize, Serializer};
use std::fmt;
use std::marker::PhantomData;

/// A value that is deserialized only from a JSON object, and serialized as one.
#[derive(Debug)]
pub(crate) struct JsonObject<T>(pub(crate) T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for JsonObject<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(JsonObjectVisitor(PhantomData))
    }
}

impl<T: Serialize> Serialize for JsonObject<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

struct JsonObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for JsonObjectVisitor<T> {
    type Value = JsonObject<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(map)).map(JsonObject)
    }
}
