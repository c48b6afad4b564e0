//! The module stays printable: bounded in lines and width.

#[test]
fn module_fits_its_bounds() {
    let text = include_str!("../src/brain.rs");
    let lines = text.lines().filter(|l| !l.trim().is_empty()).count();
    assert!(lines <= 940, "{lines} non-blank lines");
    let wide: Vec<_> = text.lines().filter(|l| l.chars().count() > 110).collect();
    assert!(wide.is_empty(), "over 110 characters: {wide:?}");
    assert!(text.lines().next().unwrap().contains("src/interface.rs"), "the head names the interface");
}
