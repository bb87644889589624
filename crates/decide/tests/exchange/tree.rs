//! Many routers, in a tree.
