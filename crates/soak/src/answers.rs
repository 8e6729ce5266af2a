//! The rows that engines answer with. They identify the request, the engine and its run, so that the checker can tell
//! which engine produced the rows that a client got.

/// Maximum number of pages of a result.
const MAX_PAGES: u32 = 3;

/// The rows with which an engine's run answers a request, one string for each page. The number of pages depends only on
/// the request id.
pub fn rows(id: &str, engine: usize, run: u32) -> Vec<String> {
    let pages = 1 + id.bytes().map(u32::from).sum::<u32>() % MAX_PAGES;
    (0..pages).map(|page| format!("{id}-{engine}-{run}\t{page}\tx\n")).collect()
}
