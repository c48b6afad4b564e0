//! A golden file of the figures: names, labels, order and form.

use lupinrack_golden_files::{check_text, path};
use lupinrack_metrics::{End, Figures, Targets};

fn ended(figures: &Figures, class: &str, end: End, times: usize) {
    for _ in 0..times {
        figures.life(class).end(end);
    }
}

#[test]
fn figures_keep_their_names_and_form() {
    let figures = Figures::default();
    figures.classes(["read", "new-write", "a\"b\\c\nd"]);
    ended(&figures, "read", End::Success, 1);
    ended(&figures, "read", End::Overload, 2);
    ended(&figures, "read", End::Error, 3);
    ended(&figures, "new-write", End::Success, 4);
    ended(&figures, "a\"b\\c\nd", End::Error, 5);
    let mut open: Vec<_> = (0..6).map(|_| figures.life("read")).collect();
    open.iter_mut().for_each(|life| life.taken());
    (0..7).for_each(|_| figures.dispatched());
    (0..8).for_each(|_| figures.reloaded(true));
    (0..9).for_each(|_| figures.reloaded(false));
    let text = figures.text(Targets {
        listed: 11,
        disabled: 10,
    });
    check_text(path!("figures.txt"), &text);
}

#[test]
fn without_classes_the_others_stand_alone() {
    check_text(
        path!("figures-without-classes.txt"),
        &Figures::default().text(Targets::default()),
    );
}
