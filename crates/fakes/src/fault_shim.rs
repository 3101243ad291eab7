//! Steps the wall clock of a process and fails its calls of the C library, by a shim for `LD_PRELOAD`.

use std::fmt::Write as _;
use std::os::unix::fs::FileExt;
use std::path::PathBuf;
use std::process::Command;
use std::sync::OnceLock;

use crate::scratch_folder::ScratchFolder;

const SOURCE: &str = include_str!("../shim/fault_shim.c");
/// Offsets in the control file of the step of the wall clock and of the switch of the failing calls, in bytes.
const WALL_STEP_OFFSET: u64 = 0;
const CALLS_FAIL_OFFSET: u64 = 8;

/// The compiled shim, which is kept until the process ends.
static LIBRARY: OnceLock<(ScratchFolder, PathBuf)> = OnceLock::new();

/// A kind of call that fails.
#[derive(Clone, Copy, Debug)]
pub struct FailingCall {
    /// The function of the C library; `log` for a write to standard error.
    pub call: &'static str,
    /// The number of the error; 0 for a read or write of a single byte.
    pub error: i32,
    /// How many calls fail before any succeeds.
    pub first: u32,
    /// How many in a thousand of the other calls fail.
    pub per_mille: u32,
}

/// The faults of one process.
pub struct FaultShim {
    folder: ScratchFolder,
    control: std::fs::File,
    calls: String,
    seed: u64,
}

impl FaultShim {
    /// Creates a shim for a process. `name` is unique among those of the test process.
    ///
    /// # Panics
    /// The shim can't be compiled.
    pub fn new(name: &str, calls: &[FailingCall], seed: u64) -> FaultShim {
        let folder = ScratchFolder::create(&format!("shim-{}-{name}", std::process::id())).unwrap();
        let mut options = std::fs::OpenOptions::new();
        options.create(true).truncate(true).read(true).write(true);
        let control = options.open(folder.join("control")).unwrap();
        control.write_all_at(&[0; 16], WALL_STEP_OFFSET).unwrap();
        let mut list = String::new();
        for rule in calls {
            let separator = if list.is_empty() { "" } else { "," };
            let FailingCall {
                call,
                error,
                first,
                per_mille,
            } = rule;
            write!(list, "{separator}{call}:{error}:{first}:{per_mille}").unwrap();
        }
        let shim = FaultShim {
            folder,
            control,
            calls: list,
            seed,
        };
        shim.set_calls_fail(!calls.is_empty());
        shim
    }

    /// Environment variables of the process that the faults concern.
    pub fn environment(&self) -> Vec<(String, String)> {
        let control = self.folder.join("control").display().to_string();
        let variables = [
            ("LD_PRELOAD", library().display().to_string()),
            ("FAULT_SHIM_CONTROL", control),
            ("FAULT_SHIM_CALLS", self.calls.clone()),
            ("FAULT_SHIM_SEED", self.seed.to_string()),
        ];
        variables
            .map(|(name, value)| (name.to_string(), value))
            .into()
    }

    /// Sets the wall clock ahead of the real time by `step_ms`, or behind it if negative.
    pub fn step_wall_clock(&self, step_ms: i64) {
        self.write(WALL_STEP_OFFSET, step_ms);
    }

    /// Sets whether calls fail from now on.
    pub fn set_calls_fail(&self, fail: bool) {
        self.write(CALLS_FAIL_OFFSET, fail.into());
    }

    fn write(&self, offset: u64, value: i64) {
        self.control
            .write_all_at(&value.to_ne_bytes(), offset)
            .unwrap();
    }
}

/// Compiles the shim once in each test process.
fn library() -> &'static PathBuf {
    let compile = || {
        let folder =
            ScratchFolder::create(&format!("shim-library-{}", std::process::id())).unwrap();
        let (source, library) = (folder.join("fault_shim.c"), folder.join("fault_shim.so"));
        std::fs::write(&source, SOURCE).unwrap();
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O2", "-Wall", "-o"]);
        let status = compiler.arg(&library).arg(&source).arg("-ldl").status();
        assert!(status.unwrap().success(), "the shim can't be compiled");
        (folder, library)
    };
    &LIBRARY.get_or_init(compile).1
}
