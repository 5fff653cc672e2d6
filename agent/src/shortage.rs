//! What is called when something that is shared by all requests is short, so that its owner can free some.

use std::cell::RefCell;

/// The handler of a shortage, which is set once its parts exist.
#[derive(Default)]
pub struct ShortageHandler(RefCell<Option<Box<dyn Fn()>>>);

impl ShortageHandler {
    /// Sets the handler.
    pub fn set(&self, handler: impl Fn() + 'static) {
        self.0.replace(Some(Box::new(handler)));
    }

    /// Calls the handler, if there is one.
    pub fn call(&self) {
        if let Some(handler) = self.0.borrow().as_ref() {
            handler();
        }
    }
}
