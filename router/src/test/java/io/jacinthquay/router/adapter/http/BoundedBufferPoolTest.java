package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.undertow.connector.PooledByteBuffer;
import org.junit.jupiter.api.Test;

class BoundedBufferPoolTest {
  @Test
  void failAtOnceBeyondTheBoundAndServeAfterAClose() {
    BoundedBufferPool pool = new BoundedBufferPool(2);
    PooledByteBuffer first = pool.allocate();
    PooledByteBuffer second = pool.allocate();
    assertThrows(IllegalStateException.class, pool::allocate);
    first.close();
    first.close();
    assertEquals(1, pool.inUse());
    PooledByteBuffer third = pool.allocate();
    assertEquals(2, pool.inUse());
    second.close();
    third.close();
    assertEquals(0, pool.inUse());
  }
}
