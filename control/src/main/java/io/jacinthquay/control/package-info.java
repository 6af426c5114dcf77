/** The control program: operators' documents, leadership, and what the leader does for routers. */
package io.jacinthquay.control;
