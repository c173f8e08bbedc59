//! A journal with an incomplete last record, a corrupt record or arbitrary bytes can be opened, and
//! all other records are still read.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;

use cv_runtime::block_on_with_tarpc;
use cv_storage::JournalFault;
use cv_storage::JournalFile;
use cv_storage::JournalStore;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use tempfile::TempDir;

/// Longest page that one read returns, in bytes.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Writes a journal of three records.
fn write_three_records(path: &Path) {
    let mut journal = JournalFile::open(path).expect("the journal opens");
    let records = [b"one".to_vec(), b"two".to_vec(), b"three".to_vec()];
    journal.append(&records).expect("the write succeeds");
    journal.sync().expect("the sync succeeds");
}

#[test]
fn an_incomplete_last_record_is_truncated_and_appends_continue() {
    let folder = TempDir::new().expect("a temporary folder");
    let path = folder.path().join("a.journal");
    write_three_records(&path);
    let mut file = OpenOptions::new().append(true).open(&path).expect("the file opens");
    file.write_all(&[9, 0, 0, 0, 1, 2, 3, 4, 5]).expect("the write succeeds");
    drop(file);
    let mut journal = JournalFile::open(&path).expect("the journal opens");
    journal.append(&[b"four".to_vec()]).expect("the write succeeds");
    let page = journal.read(0, MAX_READ_BYTES).expect("the journal is readable");
    assert_eq!(page.records.len(), 4);
    assert_eq!(page.records[3], b"four");
}

#[test]
fn a_corrupt_record_does_not_affect_the_others() {
    let folder = TempDir::new().expect("a temporary folder");
    let path = folder.path().join("a.journal");
    write_three_records(&path);
    let file = OpenOptions::new().write(true).open(&path).expect("the file opens");
    // The payload of the second record starts after the first record and two headers.
    file.write_all_at(b"x", 8 + 3 + 8).expect("the write succeeds");
    let page = JournalFile::open(&path)
        .expect("the journal opens")
        .read(0, MAX_READ_BYTES)
        .expect("the journal is readable");
    assert_eq!(page.corrupt_records, 1);
    assert_eq!(page.records, [b"one".to_vec(), b"three".to_vec()]);
}

#[test]
fn a_missing_journal_and_an_invalid_name_are_reported() {
    let folder = TempDir::new().expect("a temporary folder");
    let store = JournalStore::open(folder.path()).expect("the store opens");
    let (missing, invalid) = block_on_with_tarpc(async {
        (store.read("none", 0, 1).await, store.append("../x", vec![b"a".to_vec()]).await)
    })
    .expect("the runtime starts");
    assert_eq!(missing, Err(JournalFault::NotFound));
    assert_eq!(invalid, Err(JournalFault::InvalidName));
}

#[test]
fn a_deleted_folder_is_detected_and_created_again() {
    let folder = TempDir::new().expect("a temporary folder");
    let disk = folder.path().join("disk");
    let store = JournalStore::open(&disk).expect("the store opens");
    let (read, appended) = block_on_with_tarpc(async {
        store.append("a", vec![b"one".to_vec()]).await.expect("the write succeeds");
        std::fs::remove_dir_all(&disk).expect("the folder is removed");
        (store.read("a", 0, 1).await, store.append("a", vec![b"two".to_vec()]).await)
    })
    .expect("the runtime starts");
    assert_eq!(read, Err(JournalFault::NotFound));
    assert_eq!(appended, Ok(()));
}

proptest! {
    #[test]
    fn arbitrary_bytes_can_be_opened_and_read(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let folder = TempDir::new().expect("a temporary folder");
        let path = folder.path().join("a.journal");
        std::fs::write(&path, &bytes).expect("the write succeeds");
        let journal = JournalFile::open(&path).expect("the journal opens");
        let page = journal.read(0, MAX_READ_BYTES).expect("the journal is readable");
        assert!(page.next_position <= bytes.len() as u64);
    }
}
