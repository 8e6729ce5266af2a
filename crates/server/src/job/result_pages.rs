//! Assembles the pages of a result in their order, and determines which pages to request.

use pebblevane::interface::{ActualCost, LoadReport};

/// The maximum size of a result that the protocol allows.
const MAX_RESULT_BYTES: usize = 48_000;
/// The maximum number of pages of a result that the protocol allows.
const MAX_PAGES: u32 = 4096;
/// The number of pages, counted from the first missing one, that may be requested at the same time.
const REQUEST_WINDOW_PAGES: u32 = 8;

/// The pages of a result received so far. Pages are numbered from 0; the engine sends the first one without a request.
pub(super) struct ResultPages {
    rows: Vec<u8>,
    /// Pages that were received while one with a lower number was missing.
    out_of_order: Vec<NumberedPage>,
    /// The lowest number of a page that has not been received.
    first_missing: u32,
    /// The lowest number of a page that has not been requested.
    first_unrequested: u32,
    page_count: u32,
    actual_cost: Option<ActualCost>,
    load_report: Option<LoadReport>,
}

struct NumberedPage {
    number: u32,
    rows: Vec<u8>,
}

impl ResultPages {
    /// A result of `page_count` pages, at least one, of which the first was received.
    pub(super) fn new(
        rows: Vec<u8>,
        page_count: u32,
        actual_cost: Option<ActualCost>,
        load_report: Option<LoadReport>,
    ) -> ResultPages {
        ResultPages {
            rows,
            out_of_order: Vec::new(),
            first_missing: 1,
            first_unrequested: 1,
            page_count,
            actual_cost,
            load_report,
        }
    }

    /// The rows of the pages before the first missing one.
    pub(super) fn rows(&self) -> &[u8] {
        &self.rows
    }

    /// What the job cost, if the engine has reported it.
    pub(super) fn actual_cost(&self) -> Option<ActualCost> {
        self.actual_cost
    }

    /// The engine's load report, if it sent one with the first page.
    pub(super) fn load_report(&self) -> Option<LoadReport> {
        self.load_report
    }

    /// The size of all received pages.
    pub(super) fn received_bytes(&self) -> usize {
        let out_of_order: usize = self.out_of_order.iter().map(|page| page.rows.len()).sum();
        self.rows.len() + out_of_order
    }

    /// Whether the result is longer, or has more pages, than the protocol allows.
    pub(super) fn exceeds_limits(&self) -> bool {
        self.received_bytes() > MAX_RESULT_BYTES
            || self.page_count > MAX_PAGES
            || self.first_missing > self.page_count
    }

    /// Whether all pages have been received.
    pub(super) fn is_complete(&self) -> bool {
        self.first_missing >= self.page_count
    }

    /// Returns the numbers of the pages to request now, and records them as requested.
    #[must_use]
    pub(super) fn take_requests(&mut self) -> std::ops::Range<u32> {
        let first = self.first_unrequested;
        let end = self.page_count.min(self.first_missing + REQUEST_WINDOW_PAGES).max(first);
        self.first_unrequested = end;
        first..end
    }

    /// Adds a page. A page that was not requested, or was received before, is ignored.
    pub(super) fn add(&mut self, number: u32, rows: Vec<u8>) {
        let requested = (self.first_missing..self.first_unrequested).contains(&number);
        if requested && !self.out_of_order.iter().any(|page| page.number == number) {
            self.out_of_order.push(NumberedPage { number, rows });
        }
        while let Some(position) = self.out_of_order.iter().position(|page| page.number == self.first_missing)
        {
            self.rows.extend(self.out_of_order.swap_remove(position).rows);
            self.first_missing += 1;
        }
    }
}
