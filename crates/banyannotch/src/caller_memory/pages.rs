//! A buffer that returns large memory to the operating system as soon as it is released.

use bytes::Bytes;
use memmap2::MmapMut;

/// Capacity from which a buffer has pages of its own. An allocator keeps memory that is freed between smaller pieces, and the
/// one of the C library maps larger pieces of its own only until the first of them is freed.
const MAPPED_BYTES: usize = 64 << 10;

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Pages { map: MmapMut, len: usize },
}

/// A growable buffer of bytes.
#[derive(Debug)]
pub struct PageBuffer(Storage);

impl Default for PageBuffer {
    fn default() -> Self {
        Self(Storage::Heap(Vec::new()))
    }
}

impl PageBuffer {
    /// Returns the bytes.
    pub fn as_slice(&self) -> &[u8] {
        match &self.0 {
            Storage::Heap(bytes) => bytes,
            Storage::Pages { map, len } => map.get(..*len).unwrap_or_default(),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.as_slice().len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.as_slice().is_empty()
    }

    /// Returns the memory that the buffer takes.
    pub fn capacity(&self) -> usize {
        match &self.0 {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Pages { map, .. } => map.len(),
        }
    }

    /// Sets the capacity, which must not be smaller than the number of bytes.
    pub fn set_capacity(&mut self, capacity_bytes: usize) {
        let capacity_bytes = capacity_bytes.max(self.len());
        if capacity_bytes >= MAPPED_BYTES
            && let Ok(mut map) = MmapMut::map_anon(capacity_bytes)
        {
            let len = self.len();
            if let Some(start) = map.get_mut(..len) {
                start.copy_from_slice(self.as_slice());
            }
            self.0 = Storage::Pages { map, len };
            return;
        }
        // Without pages of its own the buffer works, and its memory is returned later.
        let mut bytes = Vec::with_capacity(capacity_bytes);
        bytes.extend_from_slice(self.as_slice());
        self.0 = Storage::Heap(bytes);
    }

    /// Appends bytes. The capacity doubles when it is used up.
    pub fn extend_from_slice(&mut self, bytes: &[u8]) {
        let size_bytes = self.len() + bytes.len();
        if size_bytes > self.capacity() {
            self.set_capacity(size_bytes.max(2 * self.capacity()));
        }
        match &mut self.0 {
            Storage::Heap(heap) => heap.extend_from_slice(bytes),
            Storage::Pages { map, len } => {
                if let Some(free) = map.get_mut(*len..size_bytes) {
                    free.copy_from_slice(bytes);
                    *len = size_bytes;
                }
            }
        }
    }

    /// Removes bytes from the front.
    pub fn discard_front(&mut self, size_bytes: usize) {
        match &mut self.0 {
            Storage::Heap(heap) => drop(heap.drain(..size_bytes.min(heap.len()))),
            Storage::Pages { map, len } => {
                let size_bytes = size_bytes.min(*len);
                map.copy_within(size_bytes..*len, 0);
                *len -= size_bytes;
            }
        }
    }

    /// Removes all bytes, and gives the memory back if it is larger than `kept_bytes`.
    pub fn clear(&mut self, kept_bytes: usize) {
        if self.capacity() > kept_bytes {
            *self = Self::default();
        } else {
            self.discard_front(self.len());
        }
    }
}

impl AsRef<[u8]> for PageBuffer {
    fn as_ref(&self) -> &[u8] {
        self.as_slice()
    }
}

impl From<PageBuffer> for Bytes {
    fn from(buffer: PageBuffer) -> Self {
        match buffer.0 {
            Storage::Heap(bytes) => bytes.into(),
            Storage::Pages { .. } => Self::from_owner(buffer),
        }
    }
}
