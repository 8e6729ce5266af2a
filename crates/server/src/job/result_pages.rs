//! Assembles the pages of a result in their order.

use pebblevane::interface::{ActualCost, LoadReport};

/// The longest result, in bytes, that the protocol allows.
const MAX_RESULT_BYTES: usize = 48_000;
const MAX_PAGES: u32 = 4096;
/// How many pages are requested before the first missing one is received.
const PAGES_REQUESTED_AHEAD: u32 = 8;

/// The pages of a result received so far. Pages are numbered from 0; the engine sends the first one without a request.
pub(super) struct ResultPages {
    rows: Vec<u8>,
    /// Pages that were received before a page with a lower number.
    out_of_order: Vec<NumberedPage>,
    /// The lowest number of a page that has not been received.
    next: u32,
    /// The lowest number of a page that has not been requested.
    next_request: u32,
    total: u32,
    actual_cost: Option<ActualCost>,
    load_report: Option<LoadReport>,
}

struct NumberedPage {
    number: u32,
    rows: Vec<u8>,
}

impl ResultPages {
    /// Begins with the first of `total` pages.
    pub(super) fn new(
        rows: Vec<u8>,
        total: u32,
        actual_cost: Option<ActualCost>,
        load_report: Option<LoadReport>,
    ) -> ResultPages {
        ResultPages {
            rows,
            out_of_order: Vec::new(),
            next: 1,
            next_request: 1,
            total: total.max(1),
            actual_cost,
            load_report,
        }
    }

    /// The rows of all pages before the first missing one.
    pub(super) fn rows(&self) -> &[u8] {
        &self.rows
    }

    /// What the dispatch cost, if the engine has reported it.
    pub(super) fn actual_cost(&self) -> Option<ActualCost> {
        self.actual_cost
    }

    /// The engine's load report, if it sent one with the first page.
    pub(super) fn load_report(&self) -> Option<LoadReport> {
        self.load_report
    }

    /// The bytes of all received pages.
    pub(super) fn held_bytes(&self) -> usize {
        let out_of_order: usize = self.out_of_order.iter().map(|page| page.rows.len()).sum();
        self.rows.len() + out_of_order
    }

    /// Whether the result is longer, or has more pages, than the protocol allows.
    pub(super) fn exceeds_limits(&self) -> bool {
        self.held_bytes() > MAX_RESULT_BYTES || self.total > MAX_PAGES || self.next > self.total
    }

    /// Whether all pages have been received.
    pub(super) fn is_complete(&self) -> bool {
        self.next >= self.total
    }

    /// The numbers of the pages to request now. They count as requested from then on.
    #[must_use]
    pub(super) fn take_requests(&mut self) -> std::ops::Range<u32> {
        let first = self.next_request;
        let end = self.total.min(self.next + PAGES_REQUESTED_AHEAD).max(first);
        self.next_request = end;
        first..end
    }

    /// Adds a page. One that was not requested, or was received before, is ignored.
    pub(super) fn add(&mut self, number: u32, rows: Vec<u8>) {
        let requested = (self.next..self.next_request).contains(&number);
        if requested && !self.out_of_order.iter().any(|page| page.number == number) {
            self.out_of_order.push(NumberedPage { number, rows });
        }
        while let Some(position) = self.out_of_order.iter().position(|page| page.number == self.next) {
            self.rows.extend(self.out_of_order.swap_remove(position).rows);
            self.next += 1;
        }
    }
}
