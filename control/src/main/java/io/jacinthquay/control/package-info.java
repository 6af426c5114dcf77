/** The control VM: stores operators' documents, elects a leader and serves routers. */
package io.jacinthquay.control;
