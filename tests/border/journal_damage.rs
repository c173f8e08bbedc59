//! Journals survive torn tails and flipped bits, and lose nothing that was synced.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;

use cv_runtime::run_to_end;
use cv_storage::JournalFile;
use cv_storage::JournalStore;
use cv_storage::StoreFault;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use tempfile::TempDir;

/// Bytes that one read asks for.
const READ_BYTES: usize = 1024 * 1024;

/// Writes a journal of three records.
fn write_three(path: &Path) {
    let mut journal = JournalFile::open(path).expect("a journal");
    let records = [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()];
    journal.append(&records).expect("room");
    journal.sync().expect("a sound disk");
}

#[test]
fn a_torn_tail_is_cut_off_and_the_next_record_follows() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("a.journal");
    write_three(&path);
    let mut file = OpenOptions::new().append(true).open(&path).expect("the file");
    file.write_all(&[9, 0, 0, 0, 1, 2, 3, 4, 5]).expect("room");
    drop(file);
    let mut journal = JournalFile::open(&path).expect("a journal");
    journal.append(&[b"four".to_vec()]).expect("room");
    let page = journal.read(0, READ_BYTES).expect("a page");
    assert_eq!(page.records.len(), 4);
    assert_eq!(page.records[3], b"four");
}

#[test]
fn a_flipped_bit_costs_its_record_alone() {
    let folder = TempDir::new().expect("a folder");
    let path = folder.path().join("a.journal");
    write_three(&path);
    let file = OpenOptions::new().write(true).open(&path).expect("the file");
    // The second record's payload begins behind the first record and two headers.
    file.write_all_at(b"x", 8 + 3 + 8).expect("room");
    let page = JournalFile::open(&path).expect("a journal").read(0, READ_BYTES).expect("a page");
    assert_eq!(page.damaged, 1);
    assert_eq!(page.records, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn a_store_tells_a_missing_journal_and_an_unsound_name() {
    let folder = TempDir::new().expect("a folder");
    let store = JournalStore::open(folder.path()).expect("a store");
    let (missing, unsound) = run_to_end(async {
        (store.read("none", 0, 1).await, store.append("../x", vec![b"a".to_vec()]).await)
    })
    .expect("a runtime");
    assert_eq!(missing, Err(StoreFault::Missing));
    assert_eq!(unsound, Err(StoreFault::Name));
}

#[test]
fn a_lost_folder_is_noticed_and_made_again() {
    let folder = TempDir::new().expect("a folder");
    let disk = folder.path().join("disk");
    let store = JournalStore::open(&disk).expect("a store");
    let (lost, kept) = run_to_end(async {
        store.append("a", vec![b"one".to_vec()]).await.expect("room");
        std::fs::remove_dir_all(&disk).expect("the folder");
        (store.read("a", 0, 1).await, store.append("a", vec![b"two".to_vec()]).await)
    })
    .expect("a runtime");
    assert_eq!(lost, Err(StoreFault::Missing));
    assert_eq!(kept, Ok(()));
}

proptest! {
    #[test]
    fn any_bytes_can_be_opened_and_read(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = TempDir::new().expect("a folder");
        let path = folder.path().join("a.journal");
        std::fs::write(&path, &bytes).expect("room");
        let journal = JournalFile::open(&path).expect("a journal");
        let page = journal.read(0, READ_BYTES).expect("a page");
        assert!(page.next <= bytes.len() as u64);
    }
}
