/** What runs on a control VM: the store, the feed to routers and the leader's duties. */
package io.jacinthquay.control.service;
