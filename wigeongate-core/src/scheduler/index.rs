//! An index of workers by free capacity.
//!
//! Workers of one availability zone with the same number of free accelerators share a grid. Its
//! rows and columns are levels of free processors and of free memory, four levels to a doubling. A
//! search begins at the cell of the wanted size and visits a bounded number of workers, however
//! large the pool is.

use crate::resources::Resources;

/// The index of a worker in the fleet's table.
pub(super) type WorkerIx = u32;

/// The index of an availability zone in the fleet's table.
pub(super) type ZoneIx = usize;

/// The number of levels of free processors or memory.
const LEVELS: usize = 64;

/// The binary logarithm of the number of levels to a doubling.
const LOG2_LEVELS_PER_DOUBLING: u32 = 2;

/// The step between the lowest levels of processors, in thousandths of a core.
const CPU_STEP_MILLICORES: u64 = 125;

/// The step between the lowest levels of memory, in MiB.
const MEMORY_STEP_MIB: u64 = 128;

/// The number of free accelerators from which on workers share one grid.
const MAX_DISTINCT_ACCELERATORS: u8 = 16;

/// The grid of the workers that have no accelerators at all.
const NO_ACCELERATORS_GRID: usize = 0;

/// Grids of one zone: one for workers without accelerators, and one for each number of free ones
/// from zero on.
const GRIDS_PER_ZONE: usize = MAX_DISTINCT_ACCELERATORS as usize + 2;

/// The most workers of one cell that a search visits.
const MAX_VISITS_PER_CELL: usize = 64;

/// Visits after which a search of one grid ends if it has found room.
const MAX_VISITS_PER_GRID: usize = 256;

/// Workers with room after which a search of one grid ends.
const MAX_FITS_PER_GRID: usize = 16;

/// Returns the level of an amount, in steps of the lowest levels; it never falls as the amount
/// grows.
fn level(units: u64) -> usize {
    let steps = 1 << LOG2_LEVELS_PER_DOUBLING;
    if units < steps {
        return usize::try_from(units).unwrap_or_default();
    }
    let octave = units.ilog2() - LOG2_LEVELS_PER_DOUBLING;
    let step = (units >> octave) & (steps - 1);
    let level = (u64::from(octave) + 1) * steps + step;
    usize::try_from(level).map_or(LEVELS - 1, |level| level.min(LEVELS - 1))
}

/// Returns the row and the column of an amount of free capacity.
fn cell_of(free: &Resources) -> (usize, usize) {
    (
        level(free.cpu / CPU_STEP_MILLICORES),
        level(free.memory / MEMORY_STEP_MIB),
    )
}

/// The position of a worker in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    zone: ZoneIx,
    grid: usize,
    row: usize,
    column: usize,
    offset: usize,
}

/// Workers by level of free processors (rows) and memory (columns).
#[derive(Debug)]
struct Grid {
    cells: Vec<Vec<WorkerIx>>,
    /// Invariant: bit `column` of `rows[row]` is set when the cell is not empty.
    rows: [u64; LEVELS],
}

impl Grid {
    fn new() -> Self {
        Self {
            cells: vec![Vec::new(); LEVELS * LEVELS],
            rows: [0; LEVELS],
        }
    }
}

/// The index of workers by free capacity.
#[derive(Debug, Default)]
pub(super) struct Index {
    zones: Vec<Vec<Option<Box<Grid>>>>,
    positions: Vec<Option<Position>>,
    free: Vec<Resources>,
}

impl Index {
    /// Moves a worker to the cell of its free capacity, or removes it when `free` is `None`.
    pub(super) fn set(
        &mut self,
        worker: WorkerIx,
        zone: ZoneIx,
        has_accelerators: bool,
        free: Option<Resources>,
    ) {
        let at = worker as usize;
        if self.positions.len() <= at {
            self.positions.resize(at + 1, None);
            self.free.resize(at + 1, Resources::ZERO);
        }
        let Some(free) = free else {
            self.remove(at);
            return;
        };
        self.free[at] = free;
        let grid = if has_accelerators {
            NO_ACCELERATORS_GRID
                + 1
                + usize::try_from(free.accelerators.min(MAX_DISTINCT_ACCELERATORS.into()))
                    .unwrap_or_default()
        } else {
            NO_ACCELERATORS_GRID
        };
        let (row, column) = cell_of(&free);
        let unchanged = self.positions[at].is_some_and(|position| {
            (position.zone, position.grid, position.row, position.column)
                == (zone, grid, row, column)
        });
        if unchanged {
            return;
        }
        self.remove(at);
        self.insert(worker, zone, grid, (row, column));
    }

    /// Returns the free capacity of a worker that is in the index.
    pub(super) fn free(&self, worker: WorkerIx) -> Option<Resources> {
        let at = worker as usize;
        self.positions.get(at)?.as_ref()?;
        self.free.get(at).copied()
    }

    /// Calls `visit` for workers of a zone that have room for `size`, roughly those with the least
    /// room first.
    ///
    /// Grids with fewer free accelerators come first; if none are wanted, that begins with the
    /// workers that have no accelerators. The search ends after the first grid with a worker that
    /// has room.
    pub(super) fn search(
        &self,
        zone: ZoneIx,
        size: &Resources,
        mut visit: impl FnMut(WorkerIx, &Resources),
    ) {
        let Some(grids) = self.zones.get(zone) else {
            return;
        };
        let first = match size.accelerators {
            0 => NO_ACCELERATORS_GRID,
            wanted => {
                usize::try_from(wanted.min(MAX_DISTINCT_ACCELERATORS.into())).unwrap_or_default()
                    + 1
            }
        };
        for grid in grids.iter().skip(first).flatten() {
            if self.search_grid(grid, size, &mut visit) > 0 {
                return;
            }
        }
    }

    /// Visits workers of one grid that have room for `size`; returns how many it found.
    fn search_grid(
        &self,
        grid: &Grid,
        size: &Resources,
        visit: &mut impl FnMut(WorkerIx, &Resources),
    ) -> usize {
        let (first_row, first_column) = cell_of(size);
        let mut fits = 0;
        let mut visits = 0;
        for row in first_row..LEVELS {
            let mut columns = grid.rows[row] & (u64::MAX << first_column);
            while columns != 0 {
                let column = columns.trailing_zeros() as usize;
                columns &= columns - 1;
                for worker in grid.cells[row * LEVELS + column]
                    .iter()
                    .take(MAX_VISITS_PER_CELL)
                {
                    let free = &self.free[*worker as usize];
                    visits += 1;
                    if size.fits_in(free) {
                        fits += 1;
                        visit(*worker, free);
                    }
                }
                if fits >= MAX_FITS_PER_GRID || visits >= MAX_VISITS_PER_GRID && fits > 0 {
                    return fits;
                }
            }
        }
        fits
    }

    fn insert(&mut self, worker: WorkerIx, zone: ZoneIx, grid: usize, cell: (usize, usize)) {
        if self.zones.len() <= zone {
            self.zones.resize_with(zone + 1, Vec::new);
        }
        let grids = &mut self.zones[zone];
        if grids.is_empty() {
            grids.resize_with(GRIDS_PER_ZONE, || None);
        }
        let cells = grids[grid].get_or_insert_with(|| Box::new(Grid::new()));
        let (row, column) = cell;
        let members = &mut cells.cells[row * LEVELS + column];
        let offset = members.len();
        members.push(worker);
        cells.rows[row] |= 1 << column;
        self.positions[worker as usize] = Some(Position {
            zone,
            grid,
            row,
            column,
            offset,
        });
    }

    fn remove(&mut self, at: usize) {
        let Some(position) = self.positions[at].take() else {
            return;
        };
        let Some(grid) = self.zones[position.zone][position.grid].as_mut() else {
            return;
        };
        let members = &mut grid.cells[position.row * LEVELS + position.column];
        members.swap_remove(position.offset);
        if let Some(moved) = members.get(position.offset) {
            if let Some(other) = self.positions[*moved as usize].as_mut() {
                other.offset = position.offset;
            }
        } else if members.is_empty() {
            grid.rows[position.row] &= !(1 << position.column);
        }
    }
}
